#ifndef VANILLAYARD_STORERELAY_TESTS_FAULTINJECTINGSTORE_H
#define VANILLAYARD_STORERELAY_TESTS_FAULTINJECTINGSTORE_H

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "store/CoordinationStore.h"

#include <optional>

namespace vanillayard {

/// The connection of one host to a store: forwards each call to the store, or
/// fails it while Failure is set.
class FaultInjectingStore final : public CoordinationStore {
public:
  FaultInjectingStore(Executor &Exec, CoordinationStore &Inner)
      : Exec(Exec), Inner(Inner) {}

  /// While this is set, every call fails with it.
  std::optional<ErrorKind> Failure;
  /// While this is set, every call fails after SilentTime, with OutcomeUnknown.
  bool IsSilent = false;
  /// Number of calls, including failed ones.
  int Calls = 0;

  void get(const std::string &Key, GetCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.get(Key, std::move(Done));
  }
  void list(const std::string &Prefix, ListCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.list(Prefix, std::move(Done));
  }
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.awaitChanges(Prefix, After, Wait, std::move(Done));
  }
  void commit(StoreTransaction Transaction, CommitCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.commit(std::move(Transaction), std::move(Done));
  }
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.grantLease(TimeToLive, std::move(Done));
  }
  void renewLease(int64_t Lease, DoneCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.renewLease(Lease, std::move(Done));
  }
  void endLease(int64_t Lease, DoneCallback Done) override {
    if (!this->injectFailure(Done))
      this->Inner.endLease(Lease, std::move(Done));
  }

private:
  static constexpr absl::Duration SilentTime = absl::Seconds(4);

  /// Counts the call. Fails it and returns true if a failure is set.
  template <typename Callback> bool injectFailure(const Callback &Done) {
    ++this->Calls;
    if (this->IsSilent) {
      this->Exec.runAfter(SilentTime, [Done] {
        Done(makeError(ErrorKind::OutcomeUnknown, "the connection is silent"));
      });
      return true;
    }
    if (!this->Failure)
      return false;
    this->Exec.post([Done, Kind = *this->Failure] {
      Done(makeError(Kind, "failure injected by the test"));
    });
    return true;
  }

  Executor &Exec;
  CoordinationStore &Inner;
};

} // namespace vanillayard

#endif
