#ifndef VANILLAYARD_CONTROL_ORDERREPLY_H
#define VANILLAYARD_CONTROL_ORDERREPLY_H

#include "scheduler/OrderAnswer.h"

#include "absl/time/time.h"

#include <optional>

namespace vanillayard {

/// A worker's answer to the start or stop of a run.
struct OrderReply {
  OrderAnswer Answer = OrderAnswer::Unknown;
  /// Reading of the worker's clock when it answered; absent if it sent none.
  std::optional<absl::Duration> Clock;
};

} // namespace vanillayard

#endif
