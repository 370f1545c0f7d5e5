#ifndef VANILLAYARD_LOAD_ANSWERREADER_H
#define VANILLAYARD_LOAD_ANSWERREADER_H

#include "load/Outcome.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillayard {

/// Converts the answers that callers get (docs/design.md, section 5.1) to
/// outcomes and checks that a result belongs to its request. Leaves
/// Outcome::Latency and Outcome::EndedAt unset.
class AnswerReader {
public:
  /// The outcome of POST /v1/requests with body \p SentBody.
  static Outcome readRequest(const absl::StatusOr<HttpResponse> &Answer,
                             std::string_view SentBody);

  /// Returns the id of the submitted job. Errors: the transport's status if
  /// there was no answer, FailedPrecondition if the host refused the job; \p
  /// Refused is then the outcome.
  static absl::StatusOr<std::string>
  readSubmission(const absl::StatusOr<HttpResponse> &Answer, Outcome &Refused);

  /// The outcome of a job whose body is \p SentBody; nullopt while it has none.
  /// A lost connection or a server error (5xx) also gives nullopt, because the
  /// caller can poll the job again.
  static std::optional<Outcome>
  readJob(const absl::StatusOr<HttpResponse> &Answer, std::string_view JobId,
          std::string_view SentBody);
};

} // namespace vanillayard

#endif
