#include "EtcdJson.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

#include <optional>
#include <utility>

namespace vanillayard {

using nlohmann::json;

absl::Status platformError(std::string_view Detail) {
  return makeError(ErrorKind::PlatformUnavailable, Detail);
}

std::string prefixEnd(const std::string &Prefix) {
  std::string End = Prefix;
  while (!End.empty() && End.back() == '\xff')
    End.pop_back();
  if (End.empty())
    return std::string(1, '\0');
  ++End.back();
  return End;
}

static std::string encodeBase64(const std::string &Bytes) {
  return absl::Base64Escape(Bytes);
}

json rangeRequest(const std::string &Key, const std::string &End, int Limit,
                  int64_t Revision) {
  // etcd has no empty key; "\0" is the lowest one.
  json Body = {{"key", encodeBase64(Key.empty() ? std::string(1, '\0') : Key)}};
  if (!End.empty())
    Body["range_end"] = encodeBase64(End);
  if (Limit > 0)
    Body["limit"] = std::to_string(Limit);
  if (Revision > 0)
    Body["revision"] = std::to_string(Revision);
  return Body;
}

json watchRequest(const std::string &Prefix, int64_t FromRevision) {
  json Create = rangeRequest(Prefix, prefixEnd(Prefix), 0, 0);
  if (FromRevision > 0)
    Create["start_revision"] = std::to_string(FromRevision);
  return {{"create_request", std::move(Create)}};
}

static json nestedTxn(const ConditionalWrite &Write) {
  std::string Key = encodeBase64(Write.Key);
  json Operation =
      Write.Delete
          ? json{{"request_delete_range", {{"key", Key}}}}
          : json{{"request_put",
                  {{"key", Key}, {"value", encodeBase64(Write.Value)}}}};
  return {
      {"compare", json::array({{{"key", Key},
                                {"target", "MOD"},
                                {"result", "EQUAL"},
                                {"mod_revision",
                                 std::to_string(Write.ExpectedModRevision)}}})},
      {"success", json::array({std::move(Operation)})},
      {"failure", json::array({{{"request_range", {{"key", Key}}}}})}};
}

json txnRequest(std::span<const ConditionalWrite> Writes) {
  json Operations = json::array();
  for (const ConditionalWrite &Write : Writes)
    Operations.push_back({{"request_txn", nestedTxn(Write)}});
  return {{"success", std::move(Operations)}};
}

static const json *findField(const json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

// The protocol encodes 64-bit integers as strings and omits zero.
static std::optional<int64_t> numberOf(const json &Object, const char *Name) {
  const json *Found = findField(Object, Name);
  if (!Found)
    return 0;
  if (Found->is_number_integer())
    return Found->get<int64_t>();
  int64_t Value = 0;
  if (!Found->is_string() ||
      !absl::SimpleAtoi(Found->get<std::string>(), &Value))
    return std::nullopt;
  return Value;
}

static std::optional<std::string> bytesOf(const json &Object,
                                          const char *Name) {
  const json *Found = findField(Object, Name);
  std::string Bytes;
  if (!Found)
    return Bytes;
  if (!Found->is_string() ||
      !absl::Base64Unescape(Found->get<std::string>(), &Bytes))
    return std::nullopt;
  return Bytes;
}

static std::optional<StoredValue> parseKeyValue(const json &Object) {
  auto Key = bytesOf(Object, "key");
  auto Value = bytesOf(Object, "value");
  auto Revision = numberOf(Object, "mod_revision");
  if (!Key || Key->empty() || !Value || !Revision)
    return std::nullopt;
  return StoredValue{std::move(*Key), std::move(*Value), *Revision};
}

static int64_t headerRevision(const json &Answer) {
  const json *Header = findField(Answer, "header");
  return Header ? numberOf(*Header, "revision").value_or(0) : 0;
}

static absl::StatusOr<std::vector<StoredValue>>
parseKeyValues(const json &Answer) {
  std::vector<StoredValue> Values;
  const json *List = findField(Answer, "kvs");
  if (!List)
    return Values;
  if (!List->is_array())
    return platformError("\"kvs\" in the answer is not an array");
  Values.reserve(List->size());
  for (const json &Entry : *List) {
    auto Value = parseKeyValue(Entry);
    if (!Value)
      return platformError("an entry of \"kvs\" in the answer has no key or a "
                           "malformed value or revision");
    Values.push_back(std::move(*Value));
  }
  return Values;
}

absl::StatusOr<RangeResult> parseRange(const json &Answer) {
  absl::StatusOr<std::vector<StoredValue>> Values = parseKeyValues(Answer);
  if (!Values.ok())
    return Values.status();
  RangeResult Result{std::move(*Values), headerRevision(Answer)};
  if (Result.Revision <= 0)
    return platformError("the answer has no positive revision in its header");
  return Result;
}

static absl::StatusOr<WriteResult> parseWrite(const json &Response,
                                              int64_t Revision) {
  const json *Txn = findField(Response, "response_txn");
  const json *Parts = Txn ? findField(*Txn, "responses") : nullptr;
  if (!Parts || !Parts->is_array() || Parts->size() != 1)
    return platformError("the answer to a write has no response_txn with "
                         "exactly one response");
  const json *Succeeded = findField(*Txn, "succeeded");
  WriteResult Result;
  Result.Applied =
      Succeeded && Succeeded->is_boolean() && Succeeded->get<bool>();
  if (Result.Applied) {
    Result.ModRevision = Revision;
    return Result;
  }
  const json *Range = findField((*Parts)[0], "response_range");
  if (!Range)
    return platformError("the answer to a write whose condition failed has no "
                         "response_range");
  absl::StatusOr<std::vector<StoredValue>> Values = parseKeyValues(*Range);
  if (!Values.ok())
    return Values.status();
  if (!Values->empty()) {
    Result.ModRevision = Values->front().ModRevision;
    Result.FoundValue = std::move(Values->front().Value);
  }
  return Result;
}

absl::StatusOr<std::vector<WriteResult>>
parseTxn(const json &Answer, std::span<const ConditionalWrite> Writes) {
  const json *Responses = findField(Answer, "responses");
  int64_t Revision = headerRevision(Answer);
  if (!Responses || !Responses->is_array() ||
      Responses->size() != Writes.size() || Revision <= 0)
    return platformError("the answer to a transaction has no revision or not "
                         "one response for each write");
  std::vector<WriteResult> Results;
  Results.reserve(Writes.size());
  for (const json &Response : *Responses) {
    absl::StatusOr<WriteResult> Result = parseWrite(Response, Revision);
    if (!Result.ok())
      return Result.status();
    Results.push_back(std::move(*Result));
  }
  return Results;
}

absl::StatusOr<std::vector<WatchEvent>> parseEvents(const json &Result) {
  std::vector<WatchEvent> Events;
  const json *List = findField(Result, "events");
  if (!List)
    return Events;
  if (!List->is_array())
    return platformError("\"events\" in a watch message is not an array");
  for (const json &Entry : *List) {
    const json *Key = findField(Entry, "kv");
    std::optional<StoredValue> Value = Key ? parseKeyValue(*Key) : std::nullopt;
    if (!Value)
      return platformError("an event in a watch message has a missing or "
                           "malformed kv");
    const json *Type = findField(Entry, "type");
    bool Deleted =
        Type && Type->is_string() && Type->get<std::string>() == "DELETE";
    Events.push_back({std::move(*Value), Deleted});
  }
  return Events;
}

} // namespace vanillayard
