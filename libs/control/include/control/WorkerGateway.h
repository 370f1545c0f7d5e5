#ifndef VANILLAYARD_CONTROL_WORKERGATEWAY_H
#define VANILLAYARD_CONTROL_WORKERGATEWAY_H

#include "control/OrderReply.h"
#include "control/RenewReply.h"
#include "control/WorkerTarget.h"
#include "scheduler/StartOrder.h"
#include "scheduler/StopOrder.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace vanillayard {

/// Port for orders to workers. Each callback runs exactly once, on the owner's
/// executor, and never before the call has returned. A failure is reported as
/// an OrderAnswer.
class WorkerGateway {
public:
  using OrderCallback = std::function<void(OrderReply)>;
  using RenewCallback = std::function<void(RenewReply)>;

  /// Content of a lease renewal.
  struct Renewal {
    int64_t Fence = 0;
    /// End of the lease on the worker's clock; zero leaves the lease unchanged.
    absl::Duration LeaseUntil = absl::ZeroDuration();
    /// The leader has recorded the ends of runs up to this sequence number, and
    /// the worker may forget them.
    int64_t AcknowledgedEnd = 0;
    /// The worker answers when a run ends, and at the latest after this time.
    absl::Duration Wait = absl::ZeroDuration();
  };

  virtual ~WorkerGateway() = default;

  /// \param Timeout of the whole call, including Request.Wait.
  virtual void renew(const WorkerTarget &Target, const Renewal &Request,
                     absl::Duration Timeout, RenewCallback Done) = 0;

  /// \param LeaseUntil end of the lease on the worker's clock; the worker
  ///        refuses the order after it.
  virtual void start(const WorkerTarget &Target, const StartOrder &Order,
                     int64_t Fence, absl::Duration LeaseUntil,
                     absl::Duration Timeout, OrderCallback Done) = 0;

  virtual void stop(const WorkerTarget &Target, const StopOrder &Order,
                    int64_t Fence, absl::Duration Timeout,
                    OrderCallback Done) = 0;
};

} // namespace vanillayard

#endif
