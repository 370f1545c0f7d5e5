#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLEWORKERS_H

#include "FreezableExecutor.h"
#include "control/WorkerDirectory.h"
#include "control/WorkerGateway.h"

namespace vanillayard {

/// The workers as a host sees them that can be suspended: answers that arrive
/// meanwhile wait.
class FreezableWorkers final : public WorkerGateway, public WorkerDirectory {
public:
  FreezableWorkers(FreezableExecutor &Exec, WorkerGateway &Gateway,
                   WorkerDirectory &Directory)
      : Exec(Exec), Gateway(Gateway), Directory(Directory) {}

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override {
    this->Gateway.renew(Target, Request, Timeout,
                        this->Exec.delayed(std::move(Done)));
  }
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override {
    this->Gateway.start(Target, Order, Fence, LeaseUntil, Timeout,
                        this->Exec.delayed(std::move(Done)));
  }
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override {
    this->Gateway.stop(Target, Order, Fence, Timeout,
                       this->Exec.delayed(std::move(Done)));
  }
  void fetch(Callback Done) override {
    this->Directory.fetch(this->Exec.delayed(std::move(Done)));
  }

private:
  FreezableExecutor &Exec;
  WorkerGateway &Gateway;
  WorkerDirectory &Directory;
};

} // namespace vanillayard

#endif
