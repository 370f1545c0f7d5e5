#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLESTORE_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLESTORE_H

#include "FreezableExecutor.h"
#include "base/ErrorKind.h"
#include "store/CoordinationStore.h"

#include <memory>

namespace vanillayard {

/// Store of a host that can be frozen or cut off: passes calls on at once and
/// queues their answers while the host is frozen. While the host is cut off,
/// calls fail unanswered, and answers to earlier watches are lost.
class FreezableStore final : public CoordinationStore {
public:
  FreezableStore(FreezableExecutor &Exec, CoordinationStore &Inner)
      : Exec(Exec), Inner(Inner) {}

  /// Cuts the host off from the store, or connects it again.
  void setCut(bool IsCut) { *this->Cut = IsCut; }

  void get(const std::string &Key, GetCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.get(Key, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void list(const std::string &Prefix, ListCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.list(Prefix, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override {
    if (this->failIfCut(Done))
      return;
    ChangesCallback Checked = [Cut = this->Cut, Done = std::move(Done)](
                                  absl::StatusOr<StoreChanges> Answer) {
      if (*Cut)
        Done(cutError());
      else
        Done(std::move(Answer));
    };
    this->Inner.awaitChanges(Prefix, After, Wait,
                             this->Exec.deferWhileFrozen(std::move(Checked)));
  }
  void commit(StoreTransaction Transaction, CommitCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.commit(std::move(Transaction),
                       this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.grantLease(TimeToLive,
                           this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void renewLease(int64_t Lease, DoneCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.renewLease(Lease, this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void endLease(int64_t Lease, DoneCallback Done) override {
    if (this->failIfCut(Done))
      return;
    this->Inner.endLease(Lease, this->Exec.deferWhileFrozen(std::move(Done)));
  }

private:
  /// Time after which a call of a host that is cut off fails.
  static constexpr absl::Duration CutTimeout = absl::Seconds(1);

  static absl::Status cutError() {
    return makeError(ErrorKind::OutcomeUnknown, "the host is cut off");
  }

  template <typename Callback> bool failIfCut(const Callback &Done) {
    if (*this->Cut)
      this->Exec.runAfter(CutTimeout, [Done] { Done(cutError()); });
    return *this->Cut;
  }

  FreezableExecutor &Exec;
  CoordinationStore &Inner;
  /// Shared with watches that outlive the host.
  std::shared_ptr<bool> Cut = std::make_shared<bool>(false);
};

} // namespace vanillayard

#endif
