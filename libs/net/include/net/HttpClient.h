#ifndef VANILLAYARD_NET_HTTPCLIENT_H
#define VANILLAYARD_NET_HTTPCLIENT_H

#include "base/Ids.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace vanillayard {

/// Port for HTTP/1.1 calls to an IP address.
///
/// Errors: NoCapacity when no connection was made, so nothing was sent;
/// AnswerTruncated when the answer ended before its declared end;
/// PayloadTooLarge when it exceeds the limit; OutcomeUnknown for a timeout or
/// any other loss of the connection after the request was sent.
class HttpClient {
public:
  using CallId = uint64_t;
  using ResponseCallback = std::function<void(absl::StatusOr<HttpResponse>)>;
  using ChunkCallback = std::function<void(std::string_view Chunk)>;
  using EndCallback = std::function<void(absl::Status)>;

  virtual ~HttpClient() = default;

  /// Sends a request and collects the whole answer.
  /// \param Timeout from now to the end of the answer.
  virtual CallId send(const Endpoint &To, HttpRequest Request,
                      absl::Duration Timeout, ResponseCallback Done) = 0;

  /// Sends a request whose answer does not end, and passes on its parts.
  /// \param Ended called once, with OK if the server ended the answer.
  virtual CallId stream(const Endpoint &To, HttpRequest Request,
                        ChunkCallback Chunk, EndCallback Ended) = 0;

  /// Ends a call; none of its callbacks runs afterwards.
  virtual void cancel(CallId Call) = 0;
};

} // namespace vanillayard

#endif
