#include "store/EtcdStore.h"

#include "EtcdJson.h"
#include "EtcdWatch.h"
#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "base/JsonText.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vanillayard {

using nlohmann::json;

struct EtcdStore::ListState {
  std::string Key;
  std::string End;
  int Limit = KeysPerPage;
  RangeResult Result;
  RangeCallback Done;
};

struct EtcdStore::Batch {
  std::vector<ConditionalWrite> Writes;
  std::vector<WriteResult> Results;
  size_t OpenParts = 0;
  absl::Status Status;
  WriteCallback Done;
};

EtcdStore::EtcdStore(HttpClient &Http, Executor &Exec, Endpoint Address,
                     absl::Duration Timeout)
    : Http(Http), Exec(Exec), Address(std::move(Address)), Timeout(Timeout) {}

EtcdStore::~EtcdStore() {
  for (HttpClient::CallId Id : this->OpenCalls)
    this->Http.cancel(Id);
}

static HttpRequest makeRequest(const std::string &Path, const json &Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = Path;
  Request.Headers.add("Content-Type", "application/json");
  Request.Body = Body.dump();
  return Request;
}

static absl::StatusOr<json>
parseAnswer(const absl::StatusOr<HttpResponse> &Response) {
  if (!Response.ok())
    return platformError(std::string(Response.status().message()));
  if (Response->Status != 200)
    return platformError(
        fmt::format("the key-value service answered with HTTP status "
                    "{}, expected 200: {}",
                    Response->Status, Response->Body.substr(0, 200)));
  json Answer = parseUntrustedJson(Response->Body);
  if (!Answer.is_object())
    return platformError("the key-value service's answer is not a JSON object");
  return Answer;
}

template <typename T, typename Parser>
static absl::StatusOr<T> parseIfOk(const absl::StatusOr<json> &Answer,
                                   Parser Parse) {
  if (!Answer.ok())
    return Answer.status();
  return Parse(*Answer);
}

void EtcdStore::call(const std::string &Path, const json &Body,
                     JsonCallback Done) {
  auto Id = std::make_shared<HttpClient::CallId>(0);
  *Id = this->Http.send(this->Address, makeRequest(Path, Body), this->Timeout,
                        [this, Id, Done = std::move(Done)](
                            const absl::StatusOr<HttpResponse> &Response) {
                          this->OpenCalls.erase(*Id);
                          // Last, as the callback may destroy this store.
                          Done(parseAnswer(Response));
                        });
  this->OpenCalls.insert(*Id);
}

void EtcdStore::get(const std::string &Key, RangeCallback Done) {
  this->getChanged(Key, 0, std::move(Done));
}

void EtcdStore::getChanged(const std::string &Key, int64_t Since,
                           RangeCallback Done) {
  json Body = rangeRequest(Key, "", 0, 0);
  if (Since > 0)
    Body["min_mod_revision"] = std::to_string(Since + 1);
  this->call("/v3/kv/range", Body,
             [Done = std::move(Done)](const absl::StatusOr<json> &Answer) {
               Done(parseIfOk<RangeResult>(Answer, parseRange));
             });
}

void EtcdStore::list(const std::string &Prefix, RangeCallback Done) {
  auto State = std::make_shared<ListState>();
  State->Key = Prefix;
  State->End = prefixEnd(Prefix);
  State->Done = std::move(Done);
  this->readNextPage(std::move(State));
}

void EtcdStore::readNextPage(std::shared_ptr<ListState> State) {
  json Body = rangeRequest(State->Key, State->End, State->Limit,
                           State->Result.Revision);
  this->call("/v3/kv/range", Body,
             [this, State](const absl::StatusOr<json> &Answer) {
               absl::StatusOr<RangeResult> Page =
                   parseIfOk<RangeResult>(Answer, parseRange);
               if (!Page.ok())
                 return State->Done(Page.status());
               RangeResult &All = State->Result;
               if (All.Revision == 0)
                 All.Revision = Page->Revision;
               std::move(Page->Values.begin(), Page->Values.end(),
                         std::back_inserter(All.Values));
               bool HasMore = Answer->value("more", json()) == json(true) &&
                              !Page->Values.empty();
               if (!HasMore)
                 return State->Done(std::move(All));
               State->Key = All.Values.back().Key + '\0';
               this->readNextPage(State);
             });
}

// Number of writes, starting at First, that are sent in one call.
static size_t partSize(const std::vector<ConditionalWrite> &Writes,
                       size_t First) {
  size_t Count = 0;
  size_t Bytes = 0;
  while (First + Count < Writes.size() && Count < EtcdStore::MaxWritesPerCall) {
    const ConditionalWrite &Write = Writes[First + Count];
    Bytes += Write.Key.size() + Write.Value.size();
    if (Count > 0 && Bytes > EtcdStore::MaxBytesPerCall)
      break;
    ++Count;
  }
  return Count;
}

void EtcdStore::write(std::vector<ConditionalWrite> Writes,
                      WriteCallback Done) {
  absl::flat_hash_set<std::string> Keys;
  for (const ConditionalWrite &Write : Writes)
    Keys.insert(Write.Key);
  bool IsTwice = Keys.size() != Writes.size();
  if (IsTwice || Writes.empty()) {
    this->Exec.post([IsTwice, Done = std::move(Done)] {
      if (IsTwice)
        Done(makeError(ErrorKind::InvalidRequest,
                       "a batch of writes contains a key twice"));
      else
        Done(std::vector<WriteResult>());
    });
    return;
  }
  auto All = std::make_shared<Batch>();
  All->Writes = std::move(Writes);
  All->Results.resize(All->Writes.size());
  All->Done = std::move(Done);
  for (size_t First = 0; First < All->Writes.size();) {
    size_t Count = partSize(All->Writes, First);
    ++All->OpenParts;
    this->sendPart(All, First, Count);
    First += Count;
  }
}

void EtcdStore::sendPart(const std::shared_ptr<Batch> &All, size_t First,
                         size_t Count) {
  std::span<const ConditionalWrite> Part(&All->Writes[First], Count);
  this->call(
      "/v3/kv/txn", txnRequest(Part),
      [All, First, Part](const absl::StatusOr<json> &Answer) {
        auto Results = parseIfOk<std::vector<WriteResult>>(
            Answer, [&](const json &Body) { return parseTxn(Body, Part); });
        if (Results.ok())
          std::move(Results->begin(), Results->end(),
                    All->Results.begin() + static_cast<ptrdiff_t>(First));
        else
          All->Status = Results.status();
        if (--All->OpenParts > 0)
          return;
        if (All->Status.ok())
          All->Done(std::move(All->Results));
        else
          All->Done(All->Status);
      });
}

std::unique_ptr<StoreWatch> EtcdStore::watch(const std::string &Prefix,
                                             int64_t FromRevision,
                                             WatchCallback Changed,
                                             WatchEndCallback Ended) {
  auto Watch = std::make_unique<EtcdWatch>(
      this->Http, this->Exec, std::move(Changed), std::move(Ended));
  Watch->start(this->Address,
               makeRequest("/v3/watch", watchRequest(Prefix, FromRevision)),
               this->Timeout);
  return Watch;
}

} // namespace vanillayard
