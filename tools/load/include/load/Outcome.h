#ifndef VANILLAYARD_LOAD_OUTCOME_H
#define VANILLAYARD_LOAD_OUTCOME_H

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// How one request ended, as its caller saw it.
struct Outcome {
  /// "ok", the name of an error kind, or one of the names below.
  std::string Name;
  /// "ran", "not_run" or "may_have_run"; empty if the answer gave none.
  std::string Execution;
  /// From the scheduled time to the answer.
  absl::Duration Latency;
  /// Time at which the answer came, from the start of the run.
  absl::Duration EndedAt;

  static constexpr const char *Ok = "ok";
  /// An answer with a result that is not that of the request.
  static constexpr const char *WrongAnswer = "wrong_answer";
  /// An error answer that is not a problem document with kind and execution.
  static constexpr const char *BadProblem = "bad_problem_document";
  /// The job had not ended when the run ended.
  static constexpr const char *Unfinished = "unfinished";
  /// Not sent, because the limit of requests in flight was reached.
  static constexpr const char *NotSent = "not_sent";
  /// No connection, or the connection was lost before the answer.
  static constexpr const char *ConnectionLost = "connection_lost";
  static constexpr const char *NoConnection = "no_connection";
};

} // namespace vanillayard

#endif
