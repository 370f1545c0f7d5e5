#ifndef VANILLAYARD_LOAD_OUTCOME_H
#define VANILLAYARD_LOAD_OUTCOME_H

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// Result of one request, as its caller observed it.
struct Outcome {
  /// "ok", the name of an error kind, or one of the names below.
  std::string Name;
  /// Whether the task ran: "ran", "not_run" or "may_have_run"; empty if the
  /// answer does not say.
  std::string Execution;
  /// From the scheduled time to the answer.
  absl::Duration Latency;
  /// Time of the answer, from the start of the run.
  absl::Duration EndedAt;

  static constexpr const char *Ok = "ok";
  /// An answer with the result of another request.
  static constexpr const char *WrongAnswer = "wrong_answer";
  /// An error answer that is not a problem document with a known kind, an
  /// execution and the HTTP status of that kind.
  static constexpr const char *MalformedProblem = "bad_problem_document";
  /// The request or job had no outcome when the drain time was over.
  static constexpr const char *Unfinished = "unfinished";
  /// Not sent, because the limit of requests in flight was reached.
  static constexpr const char *NotSent = "not_sent";
  /// The connection was established and lost before the whole answer.
  static constexpr const char *ConnectionLost = "connection_lost";
  /// No host accepted the connection.
  static constexpr const char *NoConnection = "no_connection";
};

} // namespace vanillayard

#endif
