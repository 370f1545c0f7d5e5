#include "testing/TestHttpClient.h"

#include <optional>
#include <utility>

namespace vanillayard {

static constexpr absl::Duration CheckInterval = absl::Milliseconds(2);

bool TestHttpClient::runUntil(const std::function<bool()> &Done,
                              absl::Duration Limit) {
  absl::Time End = this->Loop.now() + Limit;
  while (!Done()) {
    if (this->Loop.now() >= End)
      return false;
    this->Loop.runAfter(CheckInterval, [this] { this->Loop.stop(); });
    this->Loop.run();
  }
  return true;
}

void TestHttpClient::runFor(absl::Duration Time) {
  this->runUntil([] { return false; }, Time);
}

void TestHttpClient::beginCall(const Endpoint &To, HttpRequest Request,
                               absl::Duration Timeout,
                               HttpClient::ResponseCallback Done) {
  this->Client.send(To, std::move(Request), Timeout, std::move(Done));
}

absl::StatusOr<HttpResponse> TestHttpClient::call(const Endpoint &To,
                                                  HttpRequest Request,
                                                  absl::Duration Timeout) {
  auto Result = std::make_shared<std::optional<absl::StatusOr<HttpResponse>>>();
  this->beginCall(To, std::move(Request), Timeout,
                  [Result](absl::StatusOr<HttpResponse> Answer) {
                    *Result = std::move(Answer);
                  });
  // No limit here: HttpClient ends every call at its timeout.
  this->runUntil([&] { return Result->has_value(); }, absl::InfiniteDuration());
  return std::move(**Result);
}

absl::StatusOr<HttpResponse>
TestHttpClient::get(const Endpoint &To, std::string Path, std::string Query) {
  HttpRequest Request;
  Request.Path = std::move(Path);
  Request.Query = std::move(Query);
  return this->call(To, std::move(Request));
}

absl::StatusOr<HttpResponse>
TestHttpClient::post(const Endpoint &To, std::string Path, std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  return this->call(To, std::move(Request));
}

} // namespace vanillayard
