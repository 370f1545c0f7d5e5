#ifndef VANILLAYARD_NET_HTTPRESPONDER_H
#define VANILLAYARD_NET_HTTPRESPONDER_H

#include "net/HttpMessage.h"

#include <functional>
#include <memory>

namespace vanillayard {

/// Sends the response to one HTTP request, at any later time on the same
/// executor. After the connection has closed, the calls do nothing.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;

  /// Sends the whole response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;

  /// Starts a response of unknown length, which write() and end() continue.
  /// The body of \p Head is ignored.
  virtual void beginStream(HttpResponse Head) = 0;
  virtual void write(std::string Chunk) = 0;
  /// Ends a stream. With \p Abort the connection is closed early, so that the
  /// client detects a truncated response.
  virtual void end(bool Abort = false) = 0;

  /// True once the client's connection has closed.
  virtual bool isClosed() const = 0;

  /// Runs \p Work once if the connection closes before the response was sent.
  virtual void onClose(std::function<void()> Work) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

} // namespace vanillayard

#endif
