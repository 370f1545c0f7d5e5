#include "load/BlockingHttp.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

static constexpr int HttpOk = 200;

absl::StatusOr<HttpResponse> BlockingHttp::call(const Endpoint &To,
                                                HttpRequest Request,
                                                absl::Duration Timeout) {
  absl::StatusOr<HttpResponse> Result = absl::UnknownError("no answer");
  this->Client.send(To, std::move(Request), Timeout,
                    [&](absl::StatusOr<HttpResponse> Answer) {
                      Result = std::move(Answer);
                      this->Loop.stop();
                    });
  this->Loop.run();
  return Result;
}

absl::StatusOr<HttpResponse> BlockingHttp::get(const Endpoint &To,
                                               std::string Path) {
  HttpRequest Request;
  size_t QueryStart = Path.find('?');
  Request.Path = Path.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.Query = Path.substr(QueryStart + 1);
  return this->call(To, std::move(Request));
}

absl::StatusOr<HttpResponse>
BlockingHttp::post(const Endpoint &To, std::string Path, std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  Request.Headers.add("Content-Type", "application/json");
  return this->call(To, std::move(Request));
}

absl::StatusOr<nlohmann::json> BlockingHttp::getJson(const Endpoint &To,
                                                     std::string Path) {
  absl::StatusOr<HttpResponse> Answer = this->get(To, Path);
  if (!Answer.ok())
    return Answer.status();
  if (Answer->Status != HttpOk)
    return absl::InternalError(
        fmt::format("GET {}{}: expected status 200, found {}", To.str(), Path,
                    Answer->Status));
  nlohmann::json Parsed = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (Parsed.is_discarded())
    return absl::InternalError(
        fmt::format("GET {}{}: the answer is not valid JSON", To.str(), Path));
  return Parsed;
}

} // namespace vanillayard
