#ifndef VANILLAYARD_NET_HTTPCLIENT_H
#define VANILLAYARD_NET_HTTPCLIENT_H

#include "base/Ids.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace vanillayard {

/// Port (as in ports and adapters) for HTTP/1.1 calls to an endpoint.
///
/// Errors: NoCapacity if no connection was made, so nothing was sent;
/// AnswerTruncated if the response ended before its declared end or exceeds
/// the size limit of the client; OutcomeUnknown if a timeout expired or the
/// connection was lost after the request was sent.
class HttpClient {
public:
  using CallId = uint64_t;
  using ResponseCallback = std::function<void(absl::StatusOr<HttpResponse>)>;
  using ChunkCallback = std::function<void(std::string_view Chunk)>;
  using EndCallback = std::function<void(absl::Status)>;

  virtual ~HttpClient() = default;

  /// Sends a request and collects the whole response.
  /// \param Timeout from now to the end of the response.
  virtual CallId send(const Endpoint &To, HttpRequest Request,
                      absl::Duration Timeout, ResponseCallback Done) = 0;

  /// Sends a request and passes on its response in chunks, without a timeout
  /// for the whole response.
  /// \param OnEnd called once, with OK if the server ended the response.
  virtual CallId stream(const Endpoint &To, HttpRequest Request,
                        ChunkCallback OnChunk, EndCallback OnEnd) = 0;

  /// Cancels a call; none of its callbacks runs afterwards.
  virtual void cancel(CallId Call) = 0;
};

} // namespace vanillayard

#endif
