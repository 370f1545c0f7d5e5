#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLESTORE_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLESTORE_H

#include "FreezableExecutor.h"
#include "store/CoordinationStore.h"

namespace vanillayard {

/// Store of a host that can be frozen: passes calls on at once and queues their
/// answers while the host is frozen.
class FreezableStore final : public CoordinationStore {
public:
  FreezableStore(FreezableExecutor &Exec, CoordinationStore &Inner)
      : Exec(Exec), Inner(Inner) {}

  void get(const std::string &Key, GetCallback Done) override {
    this->Inner.get(Key, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void list(const std::string &Prefix, ListCallback Done) override {
    this->Inner.list(Prefix, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override {
    this->Inner.awaitChanges(Prefix, After, Wait,
                             this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void commit(StoreTransaction Transaction, CommitCallback Done) override {
    this->Inner.commit(std::move(Transaction),
                       this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override {
    this->Inner.grantLease(TimeToLive,
                           this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void renewLease(int64_t Lease, DoneCallback Done) override {
    this->Inner.renewLease(Lease, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void endLease(int64_t Lease, DoneCallback Done) override {
    this->Inner.endLease(Lease, this->Exec.deferWhileFrozen(std::move(Done)));
  }

private:
  FreezableExecutor &Exec;
  CoordinationStore &Inner;
};

} // namespace vanillayard

#endif
