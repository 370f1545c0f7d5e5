#include "control/MeteredGateway.h"

#include "base/Executor.h"
#include "observe/Metrics.h"

#include <utility>

namespace vanillayard {

void MeteredGateway::countAnswer(std::string_view Order, OrderAnswer Answer) {
  this->MetricRegistry
      .counter("vanillayard_worker_orders_total",
               "orders to workers by order and answer",
               {{"order", std::string(Order)},
                {"answer", std::string(OrderAnswerNames.nameOf(Answer))}})
      .add();
}

WorkerGateway::OrderCallback MeteredGateway::timed(std::string_view Order,
                                                   OrderCallback Done) {
  return [this, Order, Begun = this->Exec.now(),
          Done = std::move(Done)](const OrderReply &Reply) {
    this->countAnswer(Order, Reply.Answer);
    this->MetricRegistry
        .histogram("vanillayard_worker_order_seconds",
                   "time to a worker's answer by order",
                   {{"order", std::string(Order)}})
        .record(this->Exec.now() - Begun);
    Done(Reply);
  };
}

void MeteredGateway::renew(const WorkerTarget &Target, const Renewal &Request,
                           absl::Duration Timeout, RenewCallback Done) {
  this->Inner.renew(Target, Request, Timeout,
                    [this, Done = std::move(Done)](RenewReply Reply) {
                      this->countAnswer("renew", Reply.Answer);
                      Done(std::move(Reply));
                    });
}

void MeteredGateway::start(const WorkerTarget &Target, const StartOrder &Order,
                           int64_t Fence, absl::Duration LeaseUntil,
                           absl::Duration Timeout, OrderCallback Done) {
  this->Inner.start(Target, Order, Fence, LeaseUntil, Timeout,
                    this->timed("start", std::move(Done)));
}

void MeteredGateway::stop(const WorkerTarget &Target, const StopOrder &Order,
                          int64_t Fence, absl::Duration Timeout,
                          OrderCallback Done) {
  this->Inner.stop(Target, Order, Fence, Timeout,
                   this->timed("stop", std::move(Done)));
}

} // namespace vanillayard
