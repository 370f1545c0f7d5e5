#include "StoreService.h"

#include "base/ErrorKind.h"
#include "control/testing/FakeCoordinationStore.h"
#include "control/testing/FakeWorkerFarm.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_replace.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;
using ResponderRef = std::shared_ptr<HttpResponder>;

static void answer(const ResponderRef &Responder, int Status,
                   const Json &Body = Json::object()) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Body.dump();
  Responder->respond(std::move(Response));
}

/// HTTP status that reports a failed store call.
static int httpStatusOf(const absl::Status &Error) {
  return errorKindOf(Error) == ErrorKind::NotFound ? 404 : 503;
}

static Json encodeItem(const StoreItem &Item) {
  return {{"key", Item.Key},
          {"value", absl::Base64Escape(Item.Value)},
          {"revision", Item.Revision},
          {"created", Item.Revision},
          {"lease", 0}};
}

/// Query parameter with "%2F" decoded to "/".
static std::string queryText(const HttpRequest &Request, const char *Name) {
  return absl::StrReplaceAll(Request.queryValue(Name), {{"%2F", "/"}});
}

/// Query parameter as a number; 0 if it is missing or not a number.
static int64_t queryNumber(const HttpRequest &Request, const char *Name) {
  int64_t Value = 0;
  (void)absl::SimpleAtoi(Request.queryValue(Name), &Value);
  return Value;
}

static void getKey(FakeCoordinationStore &Store, const HttpRequest &Request,
                   const ResponderRef &Responder) {
  Store.get(queryText(Request, "key"),
            [Responder](absl::StatusOr<std::optional<StoreItem>> Item) {
              if (!Item.ok())
                answer(Responder, httpStatusOf(Item.status()));
              else if (!Item->has_value())
                answer(Responder, 404);
              else {
                Json Body = encodeItem(**Item);
                Body["current-rev"] = (*Item)->StoreRevision;
                answer(Responder, 200, Body);
              }
            });
}

static void listKeys(FakeCoordinationStore &Store, const HttpRequest &Request,
                     const ResponderRef &Responder) {
  std::string After = queryText(Request, "after");
  Store.list(queryText(Request, "prefix"),
             [Responder, After](absl::StatusOr<StoreListing> Listing) {
               if (!Listing.ok())
                 return answer(Responder, httpStatusOf(Listing.status()));
               Json Items = Json::array();
               for (const StoreItem &Item : Listing->Items)
                 if (Item.Key > After)
                   Items.push_back(encodeItem(Item));
               answer(Responder, 200,
                      {{"items", Items},
                       {"has-more", false},
                       {"current-rev", Listing->Revision}});
             });
}

static void awaitChanges(FakeCoordinationStore &Store,
                         const HttpRequest &Request,
                         const ResponderRef &Responder) {
  Store.awaitChanges(
      queryText(Request, "prefix"), queryNumber(Request, "after"),
      absl::Milliseconds(queryNumber(Request, "wait-ms")),
      [Responder](absl::StatusOr<StoreChanges> Changes) {
        if (!Changes.ok())
          return answer(Responder, httpStatusOf(Changes.status()));
        if (Changes->IsHistoryLost)
          return answer(Responder, 410);
        Json Events = Json::array();
        for (const StoreChange &Change : Changes->Changes) {
          if (Change.IsDeleted)
            Events.push_back({{"key", Change.Item.Key},
                              {"revision", Change.Item.Revision},
                              {"deleted", true}});
          else
            Events.push_back(encodeItem(Change.Item));
        }
        answer(Responder, 200,
               {{"events", Events}, {"current-rev", Changes->Revision}});
      });
}

static StoreTransaction decodeTransaction(const Json &Body) {
  StoreTransaction Out;
  for (const Json &Row : Body.value("expected-revision", Json::array()))
    Out.Conditions.push_back(
        {Row.value("key", ""), Row.value("revision", int64_t(0))});
  for (const Json &Row : Body.value("puts", Json::array())) {
    std::string Value;
    (void)absl::Base64Unescape(Row.value("value", ""), &Value);
    Out.Puts.push_back(
        {Row.value("key", ""), Value, Row.value("lease", int64_t(0))});
  }
  for (const Json &Key : Body.value("remove", Json::array()))
    Out.Removes.push_back(Key.get<std::string>());
  return Out;
}

/// True if \p Transaction writes a key that belongs to the operators ("op/")
/// or to the registered workers ("servers/").
static bool writesReservedKey(const StoreTransaction &Transaction) {
  for (const StoreTransaction::Put &Put : Transaction.Puts)
    if (Put.Key.starts_with("op/") || Put.Key.starts_with("servers/"))
      return true;
  return false;
}

static void commitTransaction(FakeCoordinationStore &Store, const Json &Body,
                              const ResponderRef &Responder) {
  StoreTransaction Transaction = decodeTransaction(Body);
  if (Transaction.entryCount() > StoreTransaction::MaxEntries)
    return answer(Responder, 400);
  if (writesReservedKey(Transaction))
    return answer(Responder, 403);
  Store.commit(
      std::move(Transaction), [Responder](absl::StatusOr<StoreCommit> Result) {
        if (!Result.ok())
          return answer(Responder, httpStatusOf(Result.status()));
        if (Result->IsApplied)
          return answer(Responder, 200, {{"revision", Result->Revision}});
        Json Items = Json::array();
        for (const StoreItem &Item : Result->Found)
          Items.push_back(encodeItem(Item));
        answer(Responder, 412, {{"items", Items}});
      });
}

static void renewOrRevokeLease(FakeCoordinationStore &Store,
                               const HttpRequest &Request,
                               const ResponderRef &Responder) {
  int64_t Lease = 0;
  size_t Slash = Request.Path.rfind('/');
  if (!absl::SimpleAtoi(Request.Path.substr(Slash + 1), &Lease))
    return answer(Responder, 404);
  auto Done = [Responder](absl::Status Status) {
    answer(Responder, Status.ok() ? 200 : httpStatusOf(Status));
  };
  if (Request.Method == "DELETE")
    Store.endLease(Lease, Done);
  else
    Store.renewLease(Lease, Done);
}

static void grantLease(FakeCoordinationStore &Store, const Json &Body,
                       const ResponderRef &Responder) {
  int64_t TtlMs = Body.value("ttl-ms", int64_t(0));
  Store.grantLease(
      absl::Milliseconds(TtlMs),
      [Responder, TtlMs](absl::StatusOr<int64_t> Lease) {
        if (!Lease.ok())
          return answer(Responder, httpStatusOf(Lease.status()));
        answer(Responder, 200, {{"lease", *Lease}, {"ttl-ms", TtlMs}});
      });
}

HttpHandler makeStoreHandler(FakeCoordinationStore &Store,
                             const FakeWorkerFarm &Farm) {
  return [&Store, &Farm](HttpRequest Request, ResponderRef Responder) {
    Json Body = Json::parse(Request.Body, nullptr, false);
    const std::string &Path = Request.Path;
    if (Path == "/vanillayard/kv-key")
      return getKey(Store, Request, Responder);
    if (Path == "/vanillayard/kv-range")
      return listKeys(Store, Request, Responder);
    if (Path == "/vanillayard/kv-watch")
      return awaitChanges(Store, Request, Responder);
    if (Path == "/vanillayard/kv-txn" && Body.is_object())
      return commitTransaction(Store, Body, Responder);
    if (Path == "/vanillayard/kv-lease" && Body.is_object())
      return grantLease(Store, Body, Responder);
    if (Path.starts_with("/vanillayard/kv-"))
      return renewOrRevokeLease(Store, Request, Responder);
    if (Path == "/standin/configuration") {
      Store.put("op/config", Request.Body);
      return answer(Responder, 200);
    }
    if (Path == "/standin/runs")
      return answer(Responder, 200, {{"begun", Farm.StartedRuns.size()}});
    answer(Responder, 404);
  };
}

} // namespace vanillayard
