#ifndef VANILLAYARD_NET_SRC_CONNECTIONTABLE_H
#define VANILLAYARD_NET_SRC_CONNECTIONTABLE_H

#include "base/Executor.h"

#include <h2o.h>

#include <list>
#include <memory>
#include <string>

namespace vanillayard {

class H2oResponder;

/// The open connections of a server. Does what h2o leaves out: it answers
/// senders that stop in the middle of a request, answers too large headers as
/// such, and reads on for a while after a refusal, so that a client that still
/// sends gets the answer and not a reset.
class ConnectionTable {
public:
  ConnectionTable(Executor &Exec, absl::Duration RequestTimeout)
      : Exec(Exec), RequestTimeout(RequestTimeout) {}

  /// Before h2o takes the connection over.
  void add(h2o_socket_t *Socket);
  /// After h2o has begun to read from it.
  static void watch(h2o_socket_t *Socket);
  /// A whole request was received.
  static void requestBegan(h2o_socket_t *Socket,
                           const std::shared_ptr<H2oResponder> &Responder);
  /// The request was refused before it was read to its end.
  static void refused(h2o_socket_t *Socket);

private:
  struct Connection {
    ConnectionTable *Owner = nullptr;
    h2o_socket_t *Socket = nullptr;
    std::list<Connection>::iterator Position;
    std::weak_ptr<H2oResponder> Responder;
    /// h2o's own reader, which runs after the check of the headers.
    h2o_socket_cb Reader = nullptr;
    /// The reader of HTTP/1.1; another one follows an upgrade to HTTP/2.
    h2o_socket_cb Http1Reader = nullptr;
    /// When a part of a request was first seen; InfiniteFuture if there is
    /// none.
    absl::Time PartialSince = absl::InfiniteFuture();
    /// Keeps the connection open after h2o has closed it; -1 for none.
    int LingeringDescriptor = -1;
  };

  static Connection &of(h2o_socket_t *Socket) {
    return *static_cast<Connection *>(Socket->on_close.data);
  }
  /// A request is being read by HTTP/1.1.
  static bool isReadingRequest(const Connection &Open);
  static void onRead(h2o_socket_t *Socket, const char *Error);
  static void linger(Connection &Open);
  static void sendRefusal(Connection &Open, const std::string &Answer);
  void closed(Connection &Open);
  void poll();
  void pollLater();
  void check(Connection &Open);
  void drain(int Descriptor, absl::Time GiveUpAt);

  Executor &Exec;
  absl::Duration RequestTimeout;
  std::list<Connection> Connections;
  bool IsPolling = false;
};

} // namespace vanillayard

#endif
