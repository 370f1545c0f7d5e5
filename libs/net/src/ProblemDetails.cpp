#include "net/ProblemDetails.h"

#include "base/ErrorKind.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace vanillayard {

HttpResponse problemResponse(const absl::Status &Status) {
  const ErrorKindInfo &Info = errorKindInfo(errorKindOf(Status));
  nlohmann::json Body = {
      {"type", "urn:vanillayard:error:" + std::string(Info.Name)},
      {"title", Info.Title},
      {"status", Info.HttpStatus},
      {"detail", std::string(Status.message())},
      {"kind", Info.Name},
      {"execution", nameOf(Info.RequestExecution)}};
  HttpResponse Response;
  Response.Status = Info.HttpStatus;
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
