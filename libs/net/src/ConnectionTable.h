#ifndef VANILLAYARD_NET_SRC_CONNECTIONTABLE_H
#define VANILLAYARD_NET_SRC_CONNECTIONTABLE_H

#include "base/Executor.h"

#include <h2o.h>

#include <list>
#include <memory>
#include <string>

namespace vanillayard {

class H2oResponder;

/// The open connections of a server. Handles three cases that h2o does not:
/// a request that is not received in time gets a 408 response; headers that
/// are too large get a 431 response; and after a request was refused, the
/// server goes on reading for a while (a lingering close), so that a client
/// that is still sending receives the response and not a connection reset.
class ConnectionTable {
public:
  ConnectionTable(Executor &Exec, absl::Duration RequestTimeout)
      : Exec(Exec), RequestTimeout(RequestTimeout) {}

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
  static void keepForLingeringClose(Connection &Conn);
  static void sendErrorResponse(Connection &Conn, const std::string &Response);
  void onSocketClosed(Connection &Conn);
  void checkConnections();
  void scheduleCheck();
  void checkRequestTimeout(Connection &Conn);
  void drainAndClose(int Descriptor, absl::Time Deadline);

  Executor &Exec;
  absl::Duration RequestTimeout;
  std::list<Connection> Connections;
  bool IsCheckScheduled = false;
};

} // namespace vanillayard

#endif
