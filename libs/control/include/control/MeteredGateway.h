#ifndef VANILLAYARD_CONTROL_METEREDGATEWAY_H
#define VANILLAYARD_CONTROL_METEREDGATEWAY_H

#include "control/WorkerGateway.h"

#include <string_view>

namespace vanillayard {

class Executor;
class Metrics;

/// Decorator of a WorkerGateway that counts and times the orders.
///
/// Metrics: vanillayard_worker_orders_total by order and answer,
/// vanillayard_worker_order_seconds by order. Renewals are counted but not
/// timed, because they wait for runs to end.
class MeteredGateway final : public WorkerGateway {
public:
  /// All arguments must outlive the gateway and its calls.
  MeteredGateway(const Executor &Exec, WorkerGateway &Inner,
                 Metrics &MetricRegistry)
      : Exec(Exec), Inner(Inner), MetricRegistry(MetricRegistry) {}

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override;
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override;
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override;

private:
  OrderCallback timed(std::string_view Order, OrderCallback Done);
  void countAnswer(std::string_view Order, OrderAnswer Answer);

  const Executor &Exec;
  WorkerGateway &Inner;
  Metrics &MetricRegistry;
};

} // namespace vanillayard

#endif
