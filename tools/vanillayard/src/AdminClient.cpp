#include "AdminClient.h"

#include "base/ErrorKind.h"
#include "net/HttpClient.h"
#include "net/LoopExecutor.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

using nlohmann::json;

static std::string stringField(const json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return {};
  return Object[Name].get<std::string>();
}

// Converts a response with problem details (RFC 9457) to a status.
static absl::Status statusFromProblem(const HttpResponse &Response) {
  json Body = json::parse(Response.Body, nullptr, /*allow_exceptions=*/false);
  std::string Detail = stringField(Body, "detail");
  if (Detail.empty())
    Detail = fmt::format("the host answered with status {}", Response.Status);
  ErrorKind Kind =
      parseErrorKind(stringField(Body, "kind")).value_or(ErrorKind::Internal);
  return makeError(Kind, Detail);
}

absl::StatusOr<std::string> AdminClient::call(const Endpoint &Host,
                                              HttpRequest Request) {
  absl::StatusOr<HttpResponse> Answer =
      absl::UnknownError("the host sent no answer");
  this->Http.send(Host, std::move(Request), this->Timeout,
                  [&](absl::StatusOr<HttpResponse> Response) {
                    Answer = std::move(Response);
                    this->Loop.stop();
                  });
  this->Loop.run();
  if (!Answer.ok())
    return Answer.status();
  if (Answer->Status < 200 || Answer->Status > 299)
    return statusFromProblem(*Answer);
  return std::move(Answer->Body);
}

absl::StatusOr<std::string> AdminClient::getText(const Endpoint &Host,
                                                 const std::string &Path) {
  HttpRequest Request;
  Request.Path = Path;
  return this->call(Host, std::move(Request));
}

static absl::StatusOr<json> parseJson(const absl::StatusOr<std::string> &Text) {
  if (!Text.ok())
    return Text.status();
  json Document = json::parse(*Text, nullptr, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return makeError(ErrorKind::Internal, "the answer of the host is not JSON");
  return Document;
}

absl::StatusOr<json> AdminClient::getJson(const Endpoint &Host,
                                          const std::string &Path) {
  return parseJson(this->getText(Host, Path));
}

absl::StatusOr<json> AdminClient::postJson(const Endpoint &Host,
                                           const std::string &Path,
                                           const json &Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = Path;
  Request.Headers.add("Content-Type", "application/json");
  Request.Body = Body.dump(-1, ' ', true, json::error_handler_t::replace);
  return parseJson(this->call(Host, std::move(Request)));
}

} // namespace vanillayard
