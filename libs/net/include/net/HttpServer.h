#ifndef VANILLAYARD_NET_HTTPSERVER_H
#define VANILLAYARD_NET_HTTPSERVER_H

#include "base/Ids.h"
#include "net/ConnectionLimits.h"
#include "net/HttpResponder.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace vanillayard {

class LoopExecutor;

/// An HTTP/1.1 and HTTP/2 server that uses h2o on one loop.
///
/// \code
///   auto Server = HttpServer::Builder(Loop)
///                     .address(Endpoint("127.0.0.1:0"))
///                     .maxBodyBytes(1 << 20)
///                     .handler(Handle)
///                     .build();
/// \endcode
class HttpServer {
public:
  /// Called when a connection is closed to keep a limit.
  /// \param Limit "connections", "input_memory" or "send_timeout".
  /// \param Client IPv4 address of the client, in network byte order; 0 if it
  ///        is not known.
  using LimitCallback =
      std::function<void(std::string_view Limit, uint32_t Client)>;

  /// What the server uses of its ConnectionLimits.
  struct Usage {
    size_t Connections = 0;
    size_t InputBytes = 0;
  };

  class Builder {
  public:
    explicit Builder(LoopExecutor &Loop) : Loop(Loop) {}
    /// IP address and port; port 0 lets the kernel choose. Required.
    Builder &address(Endpoint Value);
    /// Called for each request. Required.
    Builder &handler(HttpHandler Value);
    /// Maximum size of a request body; a larger one is answered with 413.
    /// Default 1 MiB.
    Builder &maxBodyBytes(size_t Value);
    /// Limits over all connections. Default ConnectionLimits().
    Builder &limits(const ConnectionLimits &Value);
    /// Default none.
    Builder &onLimit(LimitCallback Value);
    /// Accepts HTTP/2 as well. Its streams are not counted in the limits of
    /// memory. Default true.
    Builder &allowHttp2(bool Value);
    /// Time that a connection without a request is kept open. Default 10 s.
    Builder &idleTimeout(absl::Duration Value);
    /// Time to receive a request, headers and body; a slower one is answered
    /// with 408. Default 10 s.
    Builder &requestTimeout(absl::Duration Value);
    /// Errors: InvalidArgument if there is no handler or the address is not
    /// IP:port, Unavailable if the address cannot be bound.
    absl::StatusOr<std::unique_ptr<HttpServer>> build();

  private:
    friend class HttpServer;
    LoopExecutor &Loop;
    Endpoint Address;
    HttpHandler Handler;
    size_t MaxBodyBytes = 1 << 20;
    ConnectionLimits Limits;
    LimitCallback OnLimit;
    bool IsHttp2Allowed = true;
    absl::Duration RequestTimeout = absl::Seconds(10);
    absl::Duration IdleTimeout = absl::Seconds(10);
  };

  ~HttpServer();

  /// The bound address; if port 0 was requested, with the port that the kernel
  /// chose.
  Endpoint address() const;

  /// Closes the listening socket and asks clients to close idle connections.
  /// Requests in progress are still answered.
  void stopAccepting();

  /// Requests that were received and not answered yet.
  size_t requestsInProgress() const;

  /// Replaces the maximum size of a request body; applies to requests whose
  /// headers are received later.
  void setMaxBodyBytes(size_t Value);

  Usage usage() const;

  class Impl;

private:
  explicit HttpServer(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
