#ifndef VANILLAYARD_CONTROL_METEREDGATEWAY_H
#define VANILLAYARD_CONTROL_METEREDGATEWAY_H

#include "control/WorkerGateway.h"

#include <string_view>

namespace vanillayard {

class Executor;
class Metrics;

/// Counts and times the orders that pass through to another gateway.
///
/// Metrics: vanillayard_worker_orders_total by order and answer,
/// vanillayard_worker_order_seconds by order. Renewals are counted and not
/// timed, because they wait for the ends of runs.
class MeteredGateway final : public WorkerGateway {
public:
  /// All arguments must outlive the gateway and its calls.
  MeteredGateway(const Executor &Exec, WorkerGateway &Inner, Metrics &Figures)
      : Exec(Exec), Inner(Inner), Figures(Figures) {}

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override;
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override;
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override;

private:
  OrderCallback timed(std::string_view Order, OrderCallback Done);
  void count(std::string_view Order, OrderAnswer Answer);

  const Executor &Exec;
  WorkerGateway &Inner;
  Metrics &Figures;
};

} // namespace vanillayard

#endif
