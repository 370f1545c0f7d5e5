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

/// Callers' API for short requests: POST /v1/requests.
class RequestApi {
public:
  /// Longest name of an account, caller or kind and longest idempotency key,
  /// in bytes.
  static constexpr size_t MaxNameBytes = 256;
  /// Longest deadline that a caller may ask for.
  static constexpr int64_t MaxDeadlineMs = 3600000;

  /// \param Incarnation differs between starts of this host's process, so
  ///        that request ids are never used twice.
  RequestApi(Executor &Exec, RequestTask &Requests, HostId Host,
             int64_t Incarnation);

  /// Sets the configuration in force; null until there is one.
  void configure(std::shared_ptr<const Configuration> Value);

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

  /// Reads a request from its headers and body. Errors: NotReady,
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
