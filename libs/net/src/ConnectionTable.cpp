#include "ConnectionTable.h"

#include "H2oResponder.h"
#include "base/ErrorKind.h"
#include "net/ProblemDetails.h"

#include <algorithm>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillayard {

/// Time between two checks for senders that have stopped.
static constexpr absl::Duration PollInterval = absl::Milliseconds(250);
/// How long a refused client's bytes are read and dropped, and how often.
static constexpr absl::Duration LingerTime = absl::Seconds(2);
static constexpr absl::Duration DrainInterval = absl::Milliseconds(20);

void ConnectionTable::add(h2o_socket_t *Socket) {
  Connection &Open = this->Connections.emplace_back();
  Open.Owner = this;
  Open.Socket = Socket;
  Open.Position = std::prev(this->Connections.end());
  Socket->on_close.data = &Open;
  Socket->on_close.cb = [](void *Data) {
    auto *Closed = static_cast<Connection *>(Data);
    Closed->Owner->closed(*Closed);
  };
  this->pollLater();
}

/// Puts the check of the headers before h2o's reader. h2o sets its reader anew
/// for each request.
void ConnectionTable::watch(h2o_socket_t *Socket) {
  h2o_socket_cb Reader = Socket->_cb.read;
  if (!Reader || Reader == onRead)
    return;
  Connection &Open = of(Socket);
  Open.Reader = Reader;
  if (!Open.Http1Reader)
    Open.Http1Reader = Reader;
  Socket->_cb.read = onRead;
}

static std::string refusalAnswer(ErrorKind Kind, std::string_view Detail) {
  HttpResponse Answer = problemResponse(makeError(Kind, Detail));
  return fmt::format("HTTP/1.1 {} Error\r\n"
                     "connection: close\r\n"
                     "content-type: application/problem+json\r\n"
                     "content-length: {}\r\n\r\n{}",
                     Answer.Status, Answer.Body.size(), Answer.Body);
}

/// h2o answers 400 as text when it has more header lines, or more bytes of
/// them, than it can hold.
static bool hasTooLargeHeaders(const h2o_buffer_t &Input) {
  std::string_view Text(Input.bytes, Input.size);
  size_t End = Text.find("\r\n\r\n");
  if (End != std::string_view::npos)
    Text = Text.substr(0, End);
  auto Lines = std::count(Text.begin(), Text.end(), '\n');
  return Lines > H2O_MAX_HEADERS || Text.size() >= H2O_MAX_REQLEN;
}

bool ConnectionTable::isReadingRequest(const Connection &Open) {
  std::shared_ptr<H2oResponder> Responder = Open.Responder.lock();
  bool IsInProgress = Responder && !Responder->isClosed();
  // h2o keeps a request in the input buffer until all of it has arrived.
  return !IsInProgress && Open.Reader && Open.Reader == Open.Http1Reader &&
         Open.Socket->input->size > 0;
}

void ConnectionTable::onRead(h2o_socket_t *Socket, const char *Error) {
  Connection &Open = of(Socket);
  if (!Error && isReadingRequest(Open) && hasTooLargeHeaders(*Socket->input)) {
    sendRefusal(Open,
                refusalAnswer(ErrorKind::HeadersTooLarge,
                              "the request has too many or too large headers"));
    Error = "headers are too large";
  }
  Open.Reader(Socket, Error);
}

void ConnectionTable::linger(Connection &Open) {
  if (Open.LingeringDescriptor < 0)
    Open.LingeringDescriptor = ::dup(h2o_socket_get_fd(Open.Socket));
}

/// Answers in place of h2o, which is waiting for more of the request and
/// writes nothing meanwhile. The caller makes h2o close the connection.
void ConnectionTable::sendRefusal(Connection &Open, const std::string &Answer) {
  ssize_t Sent = ::send(h2o_socket_get_fd(Open.Socket), Answer.data(),
                        Answer.size(), MSG_NOSIGNAL);
  // A client that does not read gets no answer, and is cut all the same.
  (void)Sent;
  linger(Open);
}

void ConnectionTable::requestBegan(
    h2o_socket_t *Socket, const std::shared_ptr<H2oResponder> &Responder) {
  of(Socket).Responder = Responder;
}

void ConnectionTable::refused(h2o_socket_t *Socket) {
  linger(of(Socket));
}

void ConnectionTable::closed(Connection &Open) {
  int Descriptor = Open.LingeringDescriptor;
  this->Connections.erase(Open.Position);
  if (Descriptor < 0)
    return;
  ::shutdown(Descriptor, SHUT_WR);
  this->drain(Descriptor, this->Exec.now() + LingerTime);
}

/// Reads and drops what arrives, until the client has closed its side.
void ConnectionTable::drain(int Descriptor, absl::Time GiveUpAt) {
  char Buffer[65536];
  ssize_t Size = 0;
  do {
    Size = ::recv(Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  } while (Size > 0);
  bool MayContinue = Size < 0 && (errno == EAGAIN || errno == EINTR);
  if (!MayContinue || this->Exec.now() >= GiveUpAt) {
    ::close(Descriptor);
    return;
  }
  this->Exec.runAfter(DrainInterval, [this, Descriptor, GiveUpAt] {
    this->drain(Descriptor, GiveUpAt);
  });
}

void ConnectionTable::pollLater() {
  if (this->IsPolling || this->Connections.empty())
    return;
  this->IsPolling = true;
  this->Exec.runAfter(PollInterval, [this] {
    this->IsPolling = false;
    this->poll();
    this->pollLater();
  });
}

void ConnectionTable::poll() {
  // check() may close a connection.
  for (auto It = this->Connections.begin(); It != this->Connections.end();) {
    Connection &Open = *It++;
    this->check(Open);
  }
}

void ConnectionTable::check(Connection &Open) {
  watch(Open.Socket);
  absl::Time Now = this->Exec.now();
  if (!isReadingRequest(Open)) {
    Open.PartialSince = absl::InfiniteFuture();
    return;
  }
  if (Open.PartialSince == absl::InfiniteFuture())
    Open.PartialSince = Now;
  if (Now - Open.PartialSince < this->RequestTimeout)
    return;
  sendRefusal(Open, refusalAnswer(ErrorKind::RequestTimeout,
                                  "the request was not received in time"));
  Open.Reader(Open.Socket, "the request was not received in time");
}

} // namespace vanillayard
