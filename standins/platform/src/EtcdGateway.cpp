#include "standin_platform/EtcdGateway.h"

#include "GatewayJson.h"
#include "standin_platform/LeaseTable.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

using nlohmann::json;

json EtcdGateway::header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(this->State.revision())},
          {"raft_term", "1"}};
}

absl::StatusOr<json> EtcdGateway::call(const std::string &Path,
                                       const json &Request, int64_t StaleBy) {
  if (!Request.is_object())
    return absl::InvalidArgumentError("the body is not a JSON object");
  if (Path == "/v3/kv/range")
    return this->range(Request, StaleBy);
  if (Path.compare(0, 10, "/v3/lease/") == 0 || Path == "/v3/kv/lease/revoke")
    return this->lease(Path, Request);
  this->State.begin();
  absl::StatusOr<json> Answer = absl::NotFoundError("no such path");
  if (Path == "/v3/kv/put")
    Answer = this->put(Request);
  else if (Path == "/v3/kv/deleterange")
    Answer = this->deleteRange(Request);
  else if (Path == "/v3/kv/txn")
    Answer = this->txn(Request);
  this->State.commit();
  if (Answer.ok())
    (*Answer)["header"] = this->header();
  return Answer;
}

absl::StatusOr<json> EtcdGateway::range(const json &Request,
                                        int64_t StaleBy) const {
  int64_t Present = this->State.revision();
  int64_t At = numberOf(Request, "revision");
  if (At > Present)
    return absl::OutOfRangeError(
        "etcdserver: mvcc: required revision is a future revision");
  if (At != 0 && At < this->State.compactRevision() - 1)
    return absl::OutOfRangeError(
        "etcdserver: mvcc: required revision has been compacted");
  json Header = this->header();
  if (At == 0 && StaleBy > 0) {
    // A lagging member also reports its own revision in the header.
    At = std::max(Present - StaleBy, this->State.compactRevision());
    Header["revision"] = std::to_string(At);
  }
  std::vector<KeyValue> Found = this->State.range(rangeOf(Request), At);
  size_t Count = Found.size();
  int64_t MinModRevision = numberOf(Request, "min_mod_revision");
  Found.erase(std::remove_if(Found.begin(), Found.end(),
                             [&](const KeyValue &Value) {
                               return Value.ModRevision < MinModRevision;
                             }),
              Found.end());
  auto Limit = static_cast<size_t>(numberOf(Request, "limit"));
  json Result = {{"header", Header}};
  if (Limit > 0 && Found.size() > Limit) {
    Found.resize(Limit);
    Result["more"] = true;
  }
  for (const KeyValue &Value : Found)
    Result["kvs"].push_back(keyToJson(Value));
  if (Count > 0)
    Result["count"] = std::to_string(Count);
  return Result;
}

absl::StatusOr<json> EtcdGateway::put(const json &Request) {
  std::string Key = bytesOf(Request, "key");
  std::string Value = bytesOf(Request, "value");
  int64_t Lease = numberOf(Request, "lease");
  if (Key.empty())
    return absl::InvalidArgumentError("etcdserver: key is not provided");
  if (Value.size() > MaxValueBytes)
    return absl::InvalidArgumentError("etcdserver: request is too large");
  if (Lease != 0 && !this->Leases.exists(Lease))
    return absl::InvalidArgumentError("etcdserver: requested lease not found");
  this->State.put(Key, Value, Lease);
  return json{{"header", this->header()}};
}

absl::StatusOr<json> EtcdGateway::deleteRange(const json &Request) {
  std::vector<KeyValue> Deleted = this->State.erase(rangeOf(Request));
  json Result = {{"header", this->header()}};
  if (!Deleted.empty())
    Result["deleted"] = std::to_string(Deleted.size());
  if (Request.value("prev_kv", false))
    for (const KeyValue &Value : Deleted)
      Result["prev_kvs"].push_back(keyToJson(Value));
  return Result;
}

bool EtcdGateway::compareHolds(const json &Compare) const {
  KeyValue Found =
      this->State.get(bytesOf(Compare, "key")).value_or(KeyValue());
  std::string Target = textOf(Compare, "target");
  int Order = 0;
  auto CompareNumbers = [&](int64_t Left, const char *Name) {
    int64_t Right = numberOf(Compare, Name);
    return Left < Right ? -1 : (Left > Right ? 1 : 0);
  };
  if (Target == "MOD")
    Order = CompareNumbers(Found.ModRevision, "mod_revision");
  else if (Target == "CREATE")
    Order = CompareNumbers(Found.CreateRevision, "create_revision");
  else if (Target == "VALUE")
    // A key that does not exist is never equal to a value.
    Order = Found.Version == 0 ? -1
                               : Found.Value.compare(bytesOf(Compare, "value"));
  else if (Target == "LEASE")
    Order = CompareNumbers(Found.Lease, "lease");
  else
    Order = CompareNumbers(Found.Version, "version");
  std::string Result = textOf(Compare, "result");
  if (Result == "GREATER")
    return Order > 0;
  if (Result == "LESS")
    return Order < 0;
  if (Result == "NOT_EQUAL")
    return Order != 0;
  return Order == 0;
}

absl::StatusOr<json> EtcdGateway::txn(const json &Request) {
  absl::Status Status = checkTxn(Request, MaxTxnOperations);
  if (!Status.ok())
    return Status;
  const json &Compares = arrayOf(Request, "compare");
  bool Succeeded =
      std::all_of(Compares.begin(), Compares.end(), [&](const json &Compare) {
        return this->compareHolds(Compare);
      });
  json Result = {{"header", this->header()}};
  if (Succeeded)
    Result["succeeded"] = true;
  for (const json &Part : arrayOf(Request, Succeeded ? "success" : "failure")) {
    absl::StatusOr<json> Answer = this->operation(Part);
    if (!Answer.ok())
      return Answer.status();
    Result["responses"].push_back(std::move(*Answer));
  }
  return Result;
}

absl::StatusOr<json> EtcdGateway::operation(const json &Request) {
  absl::StatusOr<json> Answer =
      absl::InvalidArgumentError("a transaction has an unknown operation");
  if (!Request.is_object())
    return Answer;
  const char *Name = nullptr;
  if (Request.contains("request_put")) {
    Name = "response_put";
    Answer = this->put(Request["request_put"]);
  } else if (Request.contains("request_range")) {
    Name = "response_range";
    Answer = this->range(Request["request_range"], 0);
  } else if (Request.contains("request_delete_range")) {
    Name = "response_delete_range";
    Answer = this->deleteRange(Request["request_delete_range"]);
  } else if (Request.contains("request_txn")) {
    Name = "response_txn";
    Answer = this->txn(Request["request_txn"]);
  }
  if (!Answer.ok())
    return Answer;
  return json{{Name, std::move(*Answer)}};
}

absl::StatusOr<json> EtcdGateway::lease(const std::string &Path,
                                        const json &Request) {
  int64_t Id = numberOf(Request, "ID");
  json Result = {{"header", this->header()}};
  if (Path == "/v3/lease/grant") {
    int64_t TtlSeconds = std::max<int64_t>(numberOf(Request, "TTL"), 1);
    Id = this->Leases.grant(Id, absl::Seconds(TtlSeconds));
    if (Id == 0)
      return absl::InvalidArgumentError("etcdserver: lease already exists");
    Result["ID"] = std::to_string(Id);
    Result["TTL"] = std::to_string(TtlSeconds);
    return Result;
  }
  if (Path == "/v3/lease/keepalive") {
    int64_t TtlSeconds = absl::ToInt64Seconds(this->Leases.keepAlive(Id));
    Result["ID"] = std::to_string(Id);
    if (TtlSeconds > 0)
      Result["TTL"] = std::to_string(TtlSeconds);
    return json{{"result", Result}};
  }
  if (Path != "/v3/lease/revoke" && Path != "/v3/kv/lease/revoke")
    return absl::NotFoundError("no such path");
  if (!this->Leases.revoke(Id))
    return absl::NotFoundError("etcdserver: requested lease not found");
  return Result;
}

absl::StatusOr<EtcdGateway::WatchRequest>
EtcdGateway::parseWatch(const json &Request) const {
  if (!Request.is_object() || !Request.contains("create_request"))
    return absl::InvalidArgumentError("the body has no create_request");
  const json &Create = Request["create_request"];
  WatchRequest Result{rangeOf(Create), numberOf(Create, "start_revision")};
  if (Result.Range.Key.empty())
    return absl::InvalidArgumentError("create_request has no key");
  return Result;
}

json EtcdGateway::watchCreated(const WatchRequest &Request) const {
  json Result = {{"header", this->header()}, {"created", true}};
  if (Request.StartRevision > 0 &&
      Request.StartRevision < this->State.compactRevision()) {
    Result["canceled"] = true;
    Result["compact_revision"] = std::to_string(this->State.compactRevision());
  }
  return {{"result", Result}};
}

json EtcdGateway::watchEvents(const std::vector<KeyEvent> &Events) const {
  json List = json::array();
  for (const KeyEvent &Event : Events) {
    json Entry = {{"kv", keyToJson(Event.After)}};
    if (Event.Deleted)
      Entry["type"] = "DELETE";
    List.push_back(std::move(Entry));
  }
  return {{"result", {{"header", this->header()}, {"events", List}}}};
}

} // namespace vanillayard
