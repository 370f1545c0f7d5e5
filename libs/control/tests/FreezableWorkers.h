#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H

#include "FreezableExecutor.h"
#include "control/WorkerDirectory.h"
#include "control/WorkerGateway.h"

namespace vanillayard {

/// Worker gateway and directory of a host that can be frozen: passes calls on
/// at once and queues their answers while the host is frozen.
class FreezableWorkers final : public WorkerGateway, public WorkerDirectory {
public:
  FreezableWorkers(FreezableExecutor &Exec, WorkerGateway &Gateway,
                   WorkerDirectory &Directory)
      : Exec(Exec), Gateway(Gateway), Directory(Directory) {}

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override {
    this->Gateway.renew(Target, Request, Timeout,
                        this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override {
    this->Gateway.start(Target, Order, Fence, LeaseUntil, Timeout,
                        this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override {
    this->Gateway.stop(Target, Order, Fence, Timeout,
                       this->Exec.deferWhileFrozen(std::move(Done)));
  }
  void fetch(Callback Done) override {
    this->Directory.fetch(this->Exec.deferWhileFrozen(std::move(Done)));
  }

private:
  FreezableExecutor &Exec;
  WorkerGateway &Gateway;
  WorkerDirectory &Directory;
};

} // namespace vanillayard

#endif
