#ifndef VANILLAYARD_NET_SRC_CONNECTIONTABLE_H
#define VANILLAYARD_NET_SRC_CONNECTIONTABLE_H

#include "ConnectionUse.h"
#include "base/Executor.h"
#include "net/ConnectionLimits.h"
#include "net/HttpServer.h"

#include <h2o.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

class H2oResponder;

/// The open connections of a server. Handles what h2o does not: a request that
/// is not received in time gets a 408 response; headers that are too large get
/// a 431 response; after a request was refused, the server goes on reading for
/// a while (a lingering close), so that a client that is still sending receives
/// the response and not a connection reset; a client that does not read its
/// response loses its connection; and the limits over all connections are kept
/// by closing connections, as ConnectionEviction.h describes.
class ConnectionTable {
public:
  using LimitCallback = HttpServer::LimitCallback;

  /// \param OnLimit called for each connection that is closed to keep a limit;
  ///        may be empty.
  ConnectionTable(Executor &Exec, absl::Duration RequestTimeout,
                  const ConnectionLimits &Limits, LimitCallback OnLimit)
      : Exec(Exec), RequestTimeout(RequestTimeout), Limits(Limits),
        OnLimit(std::move(OnLimit)) {}

  /// Closes connections until there is room for another one. Returns false if
  /// that is not possible. Call it before add().
  bool makeRoom();
  /// Adds a connection. Call it before h2o_accept().
  void add(h2o_socket_t *Socket);
  /// Puts the header check in front of h2o's read callback. Call it after
  /// h2o has started to read from \p Socket.
  static void interceptReads(h2o_socket_t *Socket);
  /// Records that h2o has received a whole request.
  static void onRequestReceived(h2o_socket_t *Socket,
                                const std::shared_ptr<H2oResponder> &Responder);
  /// Records that h2o refused a request before it had read all of it.
  static void onRequestRefused(h2o_socket_t *Socket);

  /// Puts the checks of interceptReads() in front of the read callbacks that
  /// h2o has set for the next requests of connections. Call it once per turn of
  /// the loop, before the loop waits for input.
  void interceptNextRequests();

  HttpServer::Usage usage() const;

private:
  struct Connection {
    ConnectionTable *Owner = nullptr;
    h2o_socket_t *Socket = nullptr;
    std::list<Connection>::iterator Position;
    std::weak_ptr<H2oResponder> Responder;
    /// h2o's own read callback, which runs after the header check.
    h2o_socket_cb Reader = nullptr;
    /// h2o's read callback for HTTP/1.1; h2o replaces it on an upgrade to
    /// HTTP/2.
    h2o_socket_cb Http1Reader = nullptr;
    /// When a check first found a partly received request; InfiniteFuture if
    /// there is none.
    absl::Time PartialSince = absl::InfiniteFuture();
    /// When a check first found a response that is not sent completely;
    /// InfiniteFuture if there is none.
    absl::Time SendingSince = absl::InfiniteFuture();
    /// When data was last received, or when the connection was accepted.
    absl::Time ActiveAt = absl::InfinitePast();
    /// Memory of the input buffer that is counted in InputBytes.
    size_t InputBytes = 0;
    /// The connection was told to close and counts no longer.
    bool IsClosing = false;
    /// IPv4 address of the client; read when it is first needed.
    std::optional<uint32_t> Client;
    /// Duplicate of the socket's descriptor, which keeps the connection open
    /// after h2o has closed the socket; -1 for none.
    int LingeringDescriptor = -1;
  };

  static Connection &connectionOf(h2o_socket_t *Socket) {
    return *static_cast<Connection *>(Socket->on_close.data);
  }
  /// Returns true if a part of an HTTP/1.1 request has been received, but not
  /// all of it.
  static bool isReadingRequest(const Connection &Conn);
  static void onRead(h2o_socket_t *Socket, const char *Error);
  static ConnectionPhase phaseOf(const Connection &Conn);
  static uint32_t clientOf(Connection &Conn);
  std::vector<ConnectionUse> listUse();
  void countInput(Connection &Conn);
  bool keepInputLimit(const Connection *Reading);
  void evict(Connection &Conn, std::string_view Limit, bool MayLinger);
  void markClosing(Connection &Conn);
  size_t openDescriptors() const;
  static void keepForLingeringClose(Connection &Conn);
  static void sendErrorResponse(Connection &Conn, const std::string &Response);
  void onSocketClosed(Connection &Conn);
  void checkConnections();
  void scheduleCheck();
  void checkRequestTimeout(Connection &Conn);
  void checkSendTimeout(Connection &Conn);
  void drainAndClose(int Descriptor, absl::Time Deadline);

  Executor &Exec;
  absl::Duration RequestTimeout;
  ConnectionLimits Limits;
  LimitCallback OnLimit;
  std::list<Connection> Connections;
  /// Connections whose last request has ended since interceptNextRequests().
  std::vector<Connection *> Answered;
  /// Number of connections with IsClosing.
  size_t ClosingCount = 0;
  /// Sum of Connection::InputBytes.
  size_t InputBytes = 0;
  /// Descriptors that are kept for a lingering close after h2o has closed the
  /// socket.
  size_t LingeringCount = 0;
  bool IsCheckScheduled = false;
};

} // namespace vanillayard

#endif
