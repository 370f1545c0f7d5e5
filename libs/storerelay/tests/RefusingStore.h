#ifndef VANILLAYARD_STORERELAY_TESTS_REFUSINGSTORE_H
#define VANILLAYARD_STORERELAY_TESTS_REFUSINGSTORE_H

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "store/CoordinationStore.h"

#include <optional>

namespace vanillayard {

/// A store as one host reaches it: each call is passed on, or fails.
class RefusingStore final : public CoordinationStore {
public:
  RefusingStore(Executor &Exec, CoordinationStore &Inner)
      : Exec(Exec), Inner(Inner) {}

  /// Every call fails with this error while it is set.
  std::optional<ErrorKind> Failure;
  /// Calls that arrived here.
  int Calls = 0;

  void get(const std::string &Key, GetCallback Done) override {
    if (!this->fails(Done))
      this->Inner.get(Key, std::move(Done));
  }
  void list(const std::string &Prefix, ListCallback Done) override {
    if (!this->fails(Done))
      this->Inner.list(Prefix, std::move(Done));
  }
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override {
    if (!this->fails(Done))
      this->Inner.awaitChanges(Prefix, After, Wait, std::move(Done));
  }
  void commit(StoreTransaction Transaction, CommitCallback Done) override {
    if (!this->fails(Done))
      this->Inner.commit(std::move(Transaction), std::move(Done));
  }
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override {
    if (!this->fails(Done))
      this->Inner.grantLease(TimeToLive, std::move(Done));
  }
  void keepLease(int64_t Lease, DoneCallback Done) override {
    if (!this->fails(Done))
      this->Inner.keepLease(Lease, std::move(Done));
  }
  void endLease(int64_t Lease, DoneCallback Done) override {
    if (!this->fails(Done))
      this->Inner.endLease(Lease, std::move(Done));
  }

private:
  template <typename Callback> bool fails(const Callback &Done) {
    ++this->Calls;
    if (!this->Failure)
      return false;
    this->Exec.post([Done, Kind = *this->Failure] {
      Done(makeError(Kind, "made to fail by the test"));
    });
    return true;
  }

  Executor &Exec;
  CoordinationStore &Inner;
};

} // namespace vanillayard

#endif
