#include "DemoRequests.h"

#include "standin_worker/TaskBody.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

HttpRequest ShortRequest::toHttp() const {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/requests";
  Request.Headers.add("Vanillayard-Account", this->Account);
  Request.Headers.add("Vanillayard-Caller", this->Caller);
  Request.Headers.add("Vanillayard-Kind", this->Kind);
  Request.Headers.add("Vanillayard-Deadline-Ms",
                      std::to_string(this->DeadlineMs));
  bool IsRepeatable = this->IdempotencyKey.empty();
  Request.Headers.add("Vanillayard-Repeatable",
                      IsRepeatable ? "true" : "false");
  if (!IsRepeatable)
    Request.Headers.add("Idempotency-Key", this->IdempotencyKey);
  Request.Body = this->Body;
  return Request;
}

std::string describeError(const absl::StatusOr<HttpResponse> &Response) {
  if (!Response.ok())
    return std::string(Response.status().message());
  nlohmann::json Problem =
      nlohmann::json::parse(Response->Body, nullptr, false);
  if (Problem.is_object() && Problem["kind"].is_string())
    return Problem["kind"].get<std::string>();
  return fmt::format("status {}", Response->Status);
}

void countAnswer(CallerRow &Row, const std::string &Body,
                 const absl::StatusOr<HttpResponse> &Response) {
  if (!Response.ok() || Response->Status != 200) {
    ++Row.Errors;
    ++Row.ErrorCounts[describeError(Response)];
  } else if (TaskBody::isResultOf(Response->Body, "", Body)) {
    ++Row.OwnAnswers;
  } else {
    ++Row.ForeignAnswers;
  }
}

} // namespace vanillayard
