#include "net/ProblemDetails.h"

#include "base/ErrorKind.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace vanillayard {

HttpResponse problemResponse(const absl::Status &Status) {
  const ErrorAnswer &Answer = answerFor(errorKindOf(Status));
  nlohmann::json Body = {
      {"type", "urn:vanillayard:error:" + std::string(Answer.Name)},
      {"title", Answer.Title},
      {"status", Answer.HttpStatus},
      {"detail", std::string(Status.message())},
      {"kind", Answer.Name},
      {"execution", nameOf(Answer.RequestExecution)}};
  HttpResponse Response;
  Response.Status = Answer.HttpStatus;
  Response.Headers.add("Content-Type", "application/problem+json");
  absl::Duration RetryAfter = retryAfterOf(Status);
  if (RetryAfter > absl::ZeroDuration()) {
    Body["retry_after_ms"] = absl::ToInt64Milliseconds(RetryAfter);
    auto Seconds =
        static_cast<int64_t>(std::ceil(absl::ToDoubleSeconds(RetryAfter)));
    Response.Headers.add("Retry-After", std::to_string(Seconds));
  }
  // The message may quote bytes of the request that are not valid UTF-8.
  Response.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace vanillayard
