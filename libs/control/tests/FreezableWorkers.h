#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H

#include "FreezableExecutor.h"
#include "control/WorkerDirectory.h"
#include "control/WorkerGateway.h"

#include <optional>
#include <set>
#include <utility>

namespace vanillayard {

/// Worker gateway and directory of a host that can be frozen or cut off from
/// workers: passes calls on at once and queues their answers while the host is
/// frozen. A call to a worker that it is cut off from gets no answer.
class FreezableWorkers final : public WorkerGateway, public WorkerDirectory {
public:
  FreezableWorkers(FreezableExecutor &Exec, WorkerGateway &Gateway,
                   WorkerDirectory &Directory)
      : Exec(Exec), Gateway(Gateway), Directory(Directory) {}

  /// Replaces the set of workers that the host is cut off from.
  void setCut(std::set<WorkerId> Workers) { this->Cut = std::move(Workers); }

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override {
    if (this->Cut.contains(Target.Id)) {
      this->Exec.runAfter(Timeout, [Done = std::move(Done)] {
        Done({OrderAnswer::Unknown, {}});
      });
      return;
    }
    this->Gateway.renew(Target, Request, Timeout,
                        this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override {
    if (this->failIfCut(Target, Timeout, Done))
      return;
    this->Gateway.start(Target, Order, Fence, LeaseUntil, Timeout,
                        this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override {
    if (this->failIfCut(Target, Timeout, Done))
      return;
    this->Gateway.stop(Target, Order, Fence, Timeout,
                       this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void fetch(Callback Done) override {
    this->Directory.fetch(this->Exec.deferWhileFrozen(std::move(Done)));
  }

private:
  bool failIfCut(const WorkerTarget &Target, absl::Duration Timeout,
                 const OrderCallback &Done) {
    if (!this->Cut.contains(Target.Id))
      return false;
    this->Exec.runAfter(Timeout, [Done] {
      Done({OrderAnswer::Unknown, std::nullopt});
    });
    return true;
  }

  FreezableExecutor &Exec;
  WorkerGateway &Gateway;
  WorkerDirectory &Directory;
  std::set<WorkerId> Cut;
};

} // namespace vanillayard

#endif
