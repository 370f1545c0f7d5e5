#include "ConnectionTable.h"

#include "ConnectionEviction.h"
#include "H2oResponder.h"
#include "base/ErrorKind.h"
#include "net/ProblemDetails.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillayard {

/// Time between two checks for requests that exceed the request timeout.
static constexpr absl::Duration CheckInterval = absl::Milliseconds(250);
/// How long the bytes of a client whose request was refused are read and
/// discarded, and the interval between two reads.
static constexpr absl::Duration LingerTime = absl::Seconds(2);
static constexpr absl::Duration DrainInterval = absl::Milliseconds(20);
/// Most bytes that are discarded at a time, so that a client that sends without
/// pause does not keep the loop busy.
static constexpr size_t MaxDrainBytes = 256 << 10;
/// How long a response may wait for its client to read it.
static constexpr absl::Duration SendTimeout = absl::Seconds(10);
/// Input buffers up to this size, in bytes, are part of the cost of a
/// connection and not counted in ConnectionLimits::MaxInputBytes.
static constexpr size_t UncountedInputBytes = 16 << 10;
/// Largest share of ConnectionLimits::MaxConnections that may be in a lingering
/// close.
static constexpr double MaxLingeringShare = 0.25;
/// When a client whose partly received request was given up should try again.
static constexpr absl::Duration EvictedRetryAfter = absl::Seconds(1);

void ConnectionTable::add(h2o_socket_t *Socket) {
  Connection &Conn = this->Connections.emplace_back();
  Conn.Owner = this;
  Conn.Socket = Socket;
  Conn.ActiveAt = this->Exec.now();
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

static std::string formatErrorResponse(const absl::Status &Error) {
  HttpResponse Response = problemResponse(Error);
  std::string Text = fmt::format("HTTP/1.1 {} Error\r\nconnection: close\r\n"
                                 "content-length: {}\r\n",
                                 Response.Status, Response.Body.size());
  for (const auto &[Name, Value] : Response.Headers.fields())
    Text += fmt::format("{}: {}\r\n", Name, Value);
  return Text + "\r\n" + Response.Body;
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
        Conn, formatErrorResponse(
                  makeError(ErrorKind::HeadersTooLarge,
                            "the request has too many or too large headers")));
    Error = "headers are too large";
  }
  if (!Error) {
    Conn.ActiveAt = Conn.Owner->Exec.now();
    Conn.Owner->countInput(Conn);
    if (!Conn.Owner->keepInputLimit(&Conn))
      return;
  }
  Conn.Reader(Socket, Error);
}

ConnectionPhase ConnectionTable::phaseOf(const Connection &Conn) {
  std::shared_ptr<H2oResponder> Responder = Conn.Responder.lock();
  if (Conn.IsClosing)
    return ConnectionPhase::Closing;
  if (Responder && !Responder->isClosed())
    return Responder->isAwaitingSend() ? ConnectionPhase::Sending
                                       : ConnectionPhase::Handling;
  return isReadingRequest(Conn) ? ConnectionPhase::Receiving
                                : ConnectionPhase::Idle;
}

uint32_t ConnectionTable::clientOf(Connection &Conn) {
  if (!Conn.Client) {
    sockaddr_in Address = {};
    socklen_t Size = sizeof(Address);
    bool IsKnown =
        ::getpeername(h2o_socket_get_fd(Conn.Socket),
                      reinterpret_cast<sockaddr *>(&Address), &Size) == 0 &&
        Address.sin_family == AF_INET;
    Conn.Client = IsKnown ? Address.sin_addr.s_addr : 0;
  }
  return *Conn.Client;
}

/// The use of each connection, in the order of Connections.
std::vector<ConnectionUse> ConnectionTable::listUse() {
  std::vector<ConnectionUse> Uses;
  Uses.reserve(this->Connections.size());
  for (Connection &Conn : this->Connections)
    Uses.push_back(
        {clientOf(Conn), phaseOf(Conn), Conn.InputBytes, Conn.ActiveAt});
  return Uses;
}

void ConnectionTable::countInput(Connection &Conn) {
  size_t Capacity = Conn.Socket->input->capacity;
  size_t Counted = Capacity > UncountedInputBytes ? Capacity : 0;
  this->InputBytes = this->InputBytes - Conn.InputBytes + Counted;
  Conn.InputBytes = Counted;
}

/// Closes connections until the input buffers are within their limit.
/// \returns false if \p Reading has been closed.
bool ConnectionTable::keepInputLimit(const Connection *Reading) {
  while (this->InputBytes > this->Limits.MaxInputBytes) {
    std::optional<size_t> Chosen = chooseToFreeMemory(this->listUse());
    if (!Chosen)
      return true;
    Connection &Conn =
        *std::next(this->Connections.begin(), static_cast<ptrdiff_t>(*Chosen));
    bool IsReading = &Conn == Reading;
    this->evict(Conn, "input_memory", /*MayLinger=*/true);
    if (IsReading)
      return false;
  }
  return true;
}

bool ConnectionTable::makeRoom() {
  while (this->openDescriptors() >= this->Limits.MaxConnections) {
    std::optional<size_t> Chosen = chooseToMakeRoom(this->listUse());
    if (!Chosen)
      return false;
    this->evict(
        *std::next(this->Connections.begin(), static_cast<ptrdiff_t>(*Chosen)),
        "connections", /*MayLinger=*/false);
  }
  return true;
}

size_t ConnectionTable::openDescriptors() const {
  return this->Connections.size() - this->ClosingCount + this->LingeringCount;
}

HttpServer::Usage ConnectionTable::usage() const {
  return {this->openDescriptors(), this->InputBytes};
}

/// Closes a connection. A request that was received in part gets a 408 response
/// and one that is being handled a 504: both leave open whether an earlier
/// attempt to submit the same job was accepted.
void ConnectionTable::evict(Connection &Conn, std::string_view Limit,
                            bool MayLinger) {
  if (this->OnLimit)
    this->OnLimit(Limit, clientOf(Conn));
  ConnectionPhase Phase = phaseOf(Conn);
  if (Phase == ConnectionPhase::Handling) {
    this->markClosing(Conn);
    Conn.Responder.lock()->respondAndClose(problemResponse(makeError(
        ErrorKind::OutcomeUnknown,
        "the host needs the connection for other clients", EvictedRetryAfter)));
    return;
  }
  // While h2o sends, it does not read. It closes the connection when its write
  // fails, in the next turn of the loop.
  if (Phase == ConnectionPhase::Sending || !Conn.Reader) {
    this->markClosing(Conn);
    ::shutdown(h2o_socket_get_fd(Conn.Socket), SHUT_RDWR);
    return;
  }
  if (Phase == ConnectionPhase::Receiving)
    sendErrorResponse(
        Conn, formatErrorResponse(makeError(
                  ErrorKind::RequestTimeout,
                  "the host needs the room that this request takes before it "
                  "has been received",
                  EvictedRetryAfter)));
  if (!MayLinger && Conn.LingeringDescriptor >= 0) {
    ::close(Conn.LingeringDescriptor);
    Conn.LingeringDescriptor = -1;
  }
  size_t Before = this->Connections.size();
  Conn.Reader(Conn.Socket, "the connection is closed to keep a limit");
  // h2o closes the socket in this call, which erases Conn. One that it keeps
  // must not be chosen again.
  if (this->Connections.size() == Before)
    this->markClosing(Conn);
}

void ConnectionTable::markClosing(Connection &Conn) {
  this->ClosingCount += Conn.IsClosing ? 0 : 1;
  Conn.IsClosing = true;
}

void ConnectionTable::keepForLingeringClose(Connection &Conn) {
  const ConnectionTable &Owner = *Conn.Owner;
  auto MaxLingering = static_cast<size_t>(
      MaxLingeringShare * static_cast<double>(Owner.Limits.MaxConnections));
  if (Conn.LingeringDescriptor >= 0 || Owner.LingeringCount >= MaxLingering)
    return;
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
  Connection &Conn = connectionOf(Socket);
  Conn.Responder = Responder;
  // h2o ends a request before it closes the socket, so Conn still exists then.
  Responder->onRequestEnded([&Conn] { Conn.Owner->Answered.push_back(&Conn); });
}

void ConnectionTable::interceptNextRequests() {
  for (Connection *Conn : this->Answered)
    interceptReads(Conn->Socket);
  this->Answered.clear();
}

void ConnectionTable::onRequestRefused(h2o_socket_t *Socket) {
  keepForLingeringClose(connectionOf(Socket));
}

void ConnectionTable::onSocketClosed(Connection &Conn) {
  int Descriptor = Conn.LingeringDescriptor;
  this->InputBytes -= Conn.InputBytes;
  this->ClosingCount -= Conn.IsClosing ? 1 : 0;
  std::erase(this->Answered, &Conn);
  this->Connections.erase(Conn.Position);
  if (Descriptor < 0)
    return;
  ++this->LingeringCount;
  ::shutdown(Descriptor, SHUT_WR);
  this->drainAndClose(Descriptor, this->Exec.now() + LingerTime);
}

/// Reads and discards input until the client closes its side or \p Deadline
/// has passed, then closes \p Descriptor.
void ConnectionTable::drainAndClose(int Descriptor, absl::Time Deadline) {
  char Buffer[65536];
  ssize_t Size = 0;
  size_t Discarded = 0;
  do {
    Size = ::recv(Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    Discarded += Size > 0 ? static_cast<size_t>(Size) : 0;
  } while (Size > 0 && Discarded < MaxDrainBytes);
  bool MayContinue =
      Size > 0 || (Size < 0 && (errno == EAGAIN || errno == EINTR));
  if (!MayContinue || this->Exec.now() >= Deadline) {
    ::close(Descriptor);
    --this->LingeringCount;
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
    this->countInput(Conn);
    this->checkSendTimeout(Conn);
    this->checkRequestTimeout(Conn);
  }
  this->keepInputLimit(nullptr);
}

void ConnectionTable::checkSendTimeout(Connection &Conn) {
  std::shared_ptr<H2oResponder> Responder = Conn.Responder.lock();
  if (!Responder || !Responder->isAwaitingSend()) {
    Conn.SendingSince = absl::InfiniteFuture();
    return;
  }
  absl::Time Now = this->Exec.now();
  Conn.SendingSince = std::min(Conn.SendingSince, Now);
  if (Now - Conn.SendingSince < SendTimeout)
    return;
  if (!Conn.IsClosing)
    this->evict(Conn, "send_timeout", /*MayLinger=*/false);
  else
    ::shutdown(h2o_socket_get_fd(Conn.Socket), SHUT_RDWR);
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
  sendErrorResponse(Conn, formatErrorResponse(makeError(
                              ErrorKind::RequestTimeout,
                              "the request was not received in time")));
  Conn.Reader(Conn.Socket, "the request was not received in time");
}

} // namespace vanillayard
