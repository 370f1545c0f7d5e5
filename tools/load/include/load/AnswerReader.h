#ifndef VANILLAYARD_LOAD_ANSWERREADER_H
#define VANILLAYARD_LOAD_ANSWERREADER_H

#include "load/Outcome.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillayard {

/// Reads the answers that callers get (section 5.1 of the design page) and
/// checks that a result belongs to its request. Latency is left unset.
class AnswerReader {
public:
  /// The outcome of POST /v1/requests with body \p Sent.
  static Outcome readRequest(const absl::StatusOr<HttpResponse> &Answer,
                             std::string_view Sent);

  /// The id of a submitted job, or the outcome if it was refused.
  static absl::StatusOr<std::string>
  readSubmission(const absl::StatusOr<HttpResponse> &Answer, Outcome &Refused);

  /// The outcome of a job whose body is \p Sent; nullopt while it has none.
  /// A lost connection is no outcome either, since the job can be asked for
  /// again.
  static std::optional<Outcome>
  readJob(const absl::StatusOr<HttpResponse> &Answer, std::string_view JobId,
          std::string_view Sent);
};

} // namespace vanillayard

#endif
