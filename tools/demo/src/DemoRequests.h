#ifndef VANILLAYARD_DEMO_DEMOREQUESTS_H
#define VANILLAYARD_DEMO_DEMOREQUESTS_H

#include "CallerTable.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"

#include <string>

namespace vanillayard {

/// A short request of a caller of the demo.
struct ShortRequest {
  std::string Account = "kalahari";
  std::string Caller;
  std::string Kind;
  std::string Body;
  /// Empty for a repeatable request.
  std::string IdempotencyKey;
  int DeadlineMs = 20000;

  HttpRequest toHttp() const;
};

/// Adds the answer to a short request with \p Body to the counts in \p Row.
void countAnswer(CallerRow &Row, const std::string &Body,
                 const absl::StatusOr<HttpResponse> &Response);

/// Returns the error kind of an answer, its HTTP status if it has none, or the
/// message of a failed call.
std::string describeError(const absl::StatusOr<HttpResponse> &Response);

} // namespace vanillayard

#endif
