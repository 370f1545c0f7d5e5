#include "ConnectionTable.h"

#include "H2oResponder.h"
#include "base/ErrorKind.h"
#include "net/ProblemDetails.h"

#include <algorithm>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillayard {

/// Time between two checks for requests that exceed the request timeout.
static constexpr absl::Duration CheckInterval = absl::Milliseconds(250);
/// How long the bytes of a client whose request was refused are read and
/// discarded, and the interval between two reads.
static constexpr absl::Duration LingerTime = absl::Seconds(2);
static constexpr absl::Duration DrainInterval = absl::Milliseconds(20);

void ConnectionTable::add(h2o_socket_t *Socket) {
  Connection &Conn = this->Connections.emplace_back();
  Conn.Owner = this;
  Conn.Socket = Socket;
  Conn.Position = std::prev(this->Connections.end());
  Socket->on_close.data = &Conn;
  Socket->on_close.cb = [](void *Data) {
    auto *Closed = static_cast<Connection *>(Data);
    Closed->Owner->onSocketClosed(*Closed);
  };
  this->scheduleCheck();
}

/// Replaces h2o's read callback by onRead(), which checks the headers first.
/// h2o sets its callback again for each request.
void ConnectionTable::interceptReads(h2o_socket_t *Socket) {
  h2o_socket_cb Reader = Socket->_cb.read;
  if (!Reader || Reader == onRead)
    return;
  Connection &Conn = connectionOf(Socket);
  Conn.Reader = Reader;
  if (!Conn.Http1Reader)
    Conn.Http1Reader = Reader;
  Socket->_cb.read = onRead;
}

static std::string formatErrorResponse(ErrorKind Kind,
                                       std::string_view Detail) {
  HttpResponse Response = problemResponse(makeError(Kind, Detail));
  return fmt::format("HTTP/1.1 {} Error\r\n"
                     "connection: close\r\n"
                     "content-type: application/problem+json\r\n"
                     "content-length: {}\r\n\r\n{}",
                     Response.Status, Response.Body.size(), Response.Body);
}

/// Returns true if the headers have more lines or more bytes than h2o can
/// hold. h2o itself would answer such a request with a 400 in plain text.
static bool hasTooLargeHeaders(const h2o_buffer_t &Input) {
  std::string_view Text(Input.bytes, Input.size);
  size_t End = Text.find("\r\n\r\n");
  if (End != std::string_view::npos)
    Text = Text.substr(0, End);
  auto Lines = std::count(Text.begin(), Text.end(), '\n');
  return Lines > H2O_MAX_HEADERS || Text.size() >= H2O_MAX_REQLEN;
}

bool ConnectionTable::isReadingRequest(const Connection &Conn) {
  std::shared_ptr<H2oResponder> Responder = Conn.Responder.lock();
  bool IsInProgress = Responder && !Responder->isClosed();
  // h2o keeps a request in the input buffer until it has received all of it.
  return !IsInProgress && Conn.Reader && Conn.Reader == Conn.Http1Reader &&
         Conn.Socket->input->size > 0;
}

void ConnectionTable::onRead(h2o_socket_t *Socket, const char *Error) {
  Connection &Conn = connectionOf(Socket);
  if (!Error && isReadingRequest(Conn) && hasTooLargeHeaders(*Socket->input)) {
    sendErrorResponse(
        Conn,
        formatErrorResponse(ErrorKind::HeadersTooLarge,
                            "the request has too many or too large headers"));
    Error = "headers are too large";
  }
  Conn.Reader(Socket, Error);
}

void ConnectionTable::keepForLingeringClose(Connection &Conn) {
  if (Conn.LingeringDescriptor < 0)
    Conn.LingeringDescriptor = ::dup(h2o_socket_get_fd(Conn.Socket));
}

/// Writes the response directly to the socket. This is safe because h2o writes
/// nothing while it waits for the rest of the request. The caller makes h2o
/// close the connection.
void ConnectionTable::sendErrorResponse(Connection &Conn,
                                        const std::string &Response) {
  ssize_t Sent = ::send(h2o_socket_get_fd(Conn.Socket), Response.data(),
                        Response.size(), MSG_NOSIGNAL);
  // If the client does not read, the response is lost; the connection is
  // closed either way.
  (void)Sent;
  keepForLingeringClose(Conn);
}

void ConnectionTable::onRequestReceived(
    h2o_socket_t *Socket, const std::shared_ptr<H2oResponder> &Responder) {
  connectionOf(Socket).Responder = Responder;
}

void ConnectionTable::onRequestRefused(h2o_socket_t *Socket) {
  keepForLingeringClose(connectionOf(Socket));
}

void ConnectionTable::onSocketClosed(Connection &Conn) {
  int Descriptor = Conn.LingeringDescriptor;
  this->Connections.erase(Conn.Position);
  if (Descriptor < 0)
    return;
  ::shutdown(Descriptor, SHUT_WR);
  this->drainAndClose(Descriptor, this->Exec.now() + LingerTime);
}

/// Reads and discards input until the client closes its side or \p Deadline
/// has passed, then closes \p Descriptor.
void ConnectionTable::drainAndClose(int Descriptor, absl::Time Deadline) {
  char Buffer[65536];
  ssize_t Size = 0;
  do {
    Size = ::recv(Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  } while (Size > 0);
  bool MayContinue = Size < 0 && (errno == EAGAIN || errno == EINTR);
  if (!MayContinue || this->Exec.now() >= Deadline) {
    ::close(Descriptor);
    return;
  }
  this->Exec.runAfter(DrainInterval, [this, Descriptor, Deadline] {
    this->drainAndClose(Descriptor, Deadline);
  });
}

void ConnectionTable::scheduleCheck() {
  if (this->IsCheckScheduled || this->Connections.empty())
    return;
  this->IsCheckScheduled = true;
  this->Exec.runAfter(CheckInterval, [this] {
    this->IsCheckScheduled = false;
    this->checkConnections();
    this->scheduleCheck();
  });
}

void ConnectionTable::checkConnections() {
  // checkRequestTimeout() may close Conn and erase it from Connections.
  for (auto It = this->Connections.begin(); It != this->Connections.end();) {
    Connection &Conn = *It++;
    this->checkRequestTimeout(Conn);
  }
}

void ConnectionTable::checkRequestTimeout(Connection &Conn) {
  interceptReads(Conn.Socket);
  absl::Time Now = this->Exec.now();
  if (!isReadingRequest(Conn)) {
    Conn.PartialSince = absl::InfiniteFuture();
    return;
  }
  if (Conn.PartialSince == absl::InfiniteFuture())
    Conn.PartialSince = Now;
  if (Now - Conn.PartialSince < this->RequestTimeout)
    return;
  sendErrorResponse(
      Conn, formatErrorResponse(ErrorKind::RequestTimeout,
                                "the request was not received in time"));
  Conn.Reader(Conn.Socket, "the request was not received in time");
}

} // namespace vanillayard
