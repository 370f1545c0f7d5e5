#include "control/MeteredStore.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "observe/Metrics.h"
#include "store/ResultStatus.h"

#include <utility>

namespace vanillayard {

void MeteredStore::countCall(std::string_view Operation,
                             const absl::Status &Status) {
  std::string Outcome =
      Status.ok() ? "ok" : std::string(errorKindInfo(errorKindOf(Status)).Name);
  this->MetricRegistry
      .counter("vanillayard_store_calls_total",
               "calls to the store by operation and outcome",
               {{"operation", std::string(Operation)},
                {"outcome", std::move(Outcome)}})
      .add();
}

template <typename Result>
std::function<void(Result)>
MeteredStore::metered(std::string_view Operation,
                      std::function<void(Result)> Done) {
  return [this, Operation, Begun = this->Exec.now(),
          Done = std::move(Done)](Result Answer) {
    this->countCall(Operation, resultStatus(Answer));
    this->MetricRegistry
        .histogram("vanillayard_store_call_seconds",
                   "time to the store's answer by operation",
                   {{"operation", std::string(Operation)}})
        .record(this->Exec.now() - Begun);
    Done(std::move(Answer));
  };
}

void MeteredStore::get(const std::string &Key, GetCallback Done) {
  this->Inner.get(Key, this->metered("get", std::move(Done)));
}

void MeteredStore::list(const std::string &Prefix, ListCallback Done) {
  this->Inner.list(Prefix, this->metered("list", std::move(Done)));
}

void MeteredStore::awaitChanges(const std::string &Prefix, int64_t After,
                                absl::Duration Wait, ChangesCallback Done) {
  this->Inner.awaitChanges(
      Prefix, After, Wait,
      [this, Done = std::move(Done)](absl::StatusOr<StoreChanges> Answer) {
        this->countCall("await_changes", Answer.status());
        Done(std::move(Answer));
      });
}

void MeteredStore::commit(StoreTransaction Transaction, CommitCallback Done) {
  this->Inner.commit(std::move(Transaction),
                     this->metered("commit", std::move(Done)));
}

void MeteredStore::grantLease(absl::Duration TimeToLive, LeaseCallback Done) {
  this->Inner.grantLease(TimeToLive,
                         this->metered("grant_lease", std::move(Done)));
}

void MeteredStore::renewLease(int64_t Lease, DoneCallback Done) {
  this->Inner.renewLease(Lease, this->metered("keep_lease", std::move(Done)));
}

void MeteredStore::endLease(int64_t Lease, DoneCallback Done) {
  this->Inner.endLease(Lease, this->metered("end_lease", std::move(Done)));
}

} // namespace vanillayard
