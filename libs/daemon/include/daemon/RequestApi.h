#ifndef VANILLAYARD_DAEMON_REQUESTAPI_H
#define VANILLAYARD_DAEMON_REQUESTAPI_H

#include "base/Ids.h"
#include "net/HttpResponder.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <string>

namespace vanillayard {

struct Configuration;
struct SubmittedRequest;
class Executor;
class RequestTask;

/// HTTP API of callers for short requests: POST /v1/requests.
class RequestApi {
public:
  /// Maximum length in bytes of an account, caller or kind name and of an
  /// idempotency key.
  static constexpr size_t MaxNameBytes = 256;
  /// Longest deadline that a caller may request, in milliseconds from the
  /// receipt of the request.
  static constexpr int64_t MaxDeadlineMs = 3600000;

  /// \param Incarnation differs between starts of this host's process, so
  ///        that request ids are never reused.
  RequestApi(Executor &Exec, RequestTask &Requests, HostId Host,
             int64_t Incarnation);

  /// Sets the configuration in force. Requests are refused with NotReady while
  /// it is null.
  void setConfiguration(std::shared_ptr<const Configuration> Value);

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

  /// Parses a request from its headers and body. Errors: NotReady,
  /// InvalidRequest, UnknownAccount, UnknownKind, PayloadTooLarge.
  absl::StatusOr<SubmittedRequest> parse(const HttpRequest &Request);

private:
  absl::Status checkBody(const HttpRequest &Request) const;
  absl::Status readDeadline(const HttpRequest &Request,
                            SubmittedRequest &Result) const;
  absl::Status readRepeatable(const HttpRequest &Request,
                              SubmittedRequest &Result) const;

  Executor &Exec;
  RequestTask &Requests;
  std::string IdPrefix;
  uint64_t NextId = 1;
  std::shared_ptr<const Configuration> Config;
};

} // namespace vanillayard

#endif
