#ifndef VANILLAYARD_SCHEDULER_ORDERANSWER_H
#define VANILLAYARD_SCHEDULER_ORDERANSWER_H

#include "base/EnumNames.h"

namespace vanillayard {

/// Answer of a worker to an order or a lease renewal.
enum class OrderAnswer {
  /// Carried out, now or by an earlier copy of the order.
  Accepted,
  /// Refused: the task does not fit into the free resources of the worker.
  NoRoom,
  /// Refused: the worker has had a run of the task with this number or a higher
  /// one.
  StaleRun,
  /// Refused: the order arrived after its deadline.
  TooLate,
  /// Refused: another leader has sent an order with a higher fencing token.
  Fenced,
  /// The worker refused it as unhealthy or overloaded, or it was not sent.
  Unavailable,
  /// The call reached another incarnation of the worker.
  WrongIncarnation,
  /// The worker cannot parse the order.
  Invalid,
  /// No answer: the worker may have carried out the order, or may do so later.
  Unknown,
};

inline constexpr EnumNames<OrderAnswer, 9>
    OrderAnswerNames({{{OrderAnswer::Accepted, "accepted"},
                       {OrderAnswer::NoRoom, "no_room"},
                       {OrderAnswer::StaleRun, "stale_run"},
                       {OrderAnswer::TooLate, "too_late"},
                       {OrderAnswer::Fenced, "fenced"},
                       {OrderAnswer::Unavailable, "unavailable"},
                       {OrderAnswer::WrongIncarnation, "wrong_incarnation"},
                       {OrderAnswer::Invalid, "invalid"},
                       {OrderAnswer::Unknown, "unknown"}}});

} // namespace vanillayard

#endif
