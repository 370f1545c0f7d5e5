#include "net/HttpServer.h"

#include "ConnectionTable.h"
#include "H2oResponder.h"
#include "RefusalFilter.h"
#include "net/Address.h"
#include "net/LoopExecutor.h"

#include "absl/strings/str_cat.h"

#include <list>

namespace vanillayard {

static constexpr int ListenBacklog = 1024;
static constexpr absl::Duration ConnectionPollInterval =
    absl::Milliseconds(250);
/// h2o's own request timeout is at least this much longer than the server's,
/// so that the server's expires first.
static constexpr absl::Duration RequestTimeoutSlack = absl::Seconds(2);

/// State that h2o points to. It is never freed, because h2o keeps timers and
/// open connections that refer to it until the process ends.
class HttpServer::Impl {
public:
  Impl(LoopExecutor &Loop, const Builder &Options);

  absl::Status listen(const sockaddr_in &Address);
  void acceptConnection();
  void stopListening();
  int handleRequest(h2o_req_t *Request);
  void pollConnections();

  LoopExecutor &Loop;
  HttpHandler Handler;
  h2o_globalconf_t Config;
  h2o_context_t Context;
  h2o_accept_ctx_t AcceptContext = {};
  uv_tcp_t *Listener = nullptr;
  bool IsShutDown = false;
  Executor::TimerId PollTimer = 0;
  std::list<std::weak_ptr<H2oResponder>> InProgress;
  ConnectionTable Connections;
  /// Runs in each turn of the loop before it waits for input.
  uv_prepare_t BeforeInput = {};
};

namespace {

struct HandlerSlot {
  h2o_handler_t Base;
  HttpServer::Impl *Server;
};

} // namespace

HttpServer::Impl::Impl(LoopExecutor &Loop, const Builder &Options)
    : Loop(Loop), Handler(Options.Handler),
      Connections(Loop, Options.RequestTimeout, Options.Limits,
                  Options.OnLimit) {
  h2o_config_init(&this->Config);
  this->Config.server_name = h2o_iovec_init(H2O_STRLIT("vanillayard"));
  this->Config.max_request_entity_size = Options.MaxBodyBytes;
  if (!Options.IsHttp2Allowed)
    this->Config.http1.upgrade_to_http2 = 0;
  // When h2o's own timeout expires, h2o closes the connection without a
  // response, so ConnectionTable has to detect slow clients before that.
  absl::Duration RequestReadTimeout = std::max(
      Options.IdleTimeout, Options.RequestTimeout + RequestTimeoutSlack);
  this->Config.http1.req_timeout =
      static_cast<uint64_t>(absl::ToInt64Milliseconds(RequestReadTimeout));
  h2o_hostconf_t *Host = h2o_config_register_host(
      &this->Config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
  auto *Slot = reinterpret_cast<HandlerSlot *>(
      h2o_create_handler(Path, sizeof(HandlerSlot)));
  Slot->Server = this;
  Slot->Base.on_req = [](h2o_handler_t *Self, h2o_req_t *Request) {
    return reinterpret_cast<HandlerSlot *>(Self)->Server->handleRequest(
        Request);
  };
  addRefusalFilter(Host, ConnectionTable::onRequestRefused);
  h2o_context_init(&this->Context, Loop.loop(), &this->Config);
  uv_prepare_init(Loop.loop(), &this->BeforeInput);
  this->BeforeInput.data = this;
  uv_prepare_start(&this->BeforeInput, [](uv_prepare_t *Handle) {
    static_cast<Impl *>(Handle->data)->Connections.interceptNextRequests();
  });
  uv_unref(reinterpret_cast<uv_handle_t *>(&this->BeforeInput));
  this->AcceptContext.ctx = &this->Context;
  this->AcceptContext.hosts = this->Config.hosts;
}

absl::Status HttpServer::Impl::listen(const sockaddr_in &Address) {
  this->Listener = new uv_tcp_t;
  this->Listener->data = this;
  uv_tcp_init(this->Loop.loop(), this->Listener);
  int Code = uv_tcp_bind(this->Listener,
                         reinterpret_cast<const sockaddr *>(&Address), 0);
  if (Code == 0)
    Code = uv_listen(reinterpret_cast<uv_stream_t *>(this->Listener),
                     ListenBacklog, [](uv_stream_t *Stream, int Status) {
                       if (Status == 0)
                         static_cast<Impl *>(Stream->data)->acceptConnection();
                     });
  if (Code != 0)
    return absl::UnavailableError(
        absl::StrCat("listen failed: ", uv_strerror(Code)));
  return absl::OkStatus();
}

void HttpServer::Impl::acceptConnection() {
  auto *Client = new uv_tcp_t;
  uv_tcp_init(this->Loop.loop(), Client);
  auto Free = [](uv_handle_t *Closed) {
    delete reinterpret_cast<uv_tcp_t *>(Closed);
  };
  if (uv_accept(reinterpret_cast<uv_stream_t *>(this->Listener),
                reinterpret_cast<uv_stream_t *>(Client)) != 0 ||
      !this->Connections.makeRoom()) {
    uv_close(reinterpret_cast<uv_handle_t *>(Client), Free);
    return;
  }
  uv_tcp_nodelay(Client, 1);
  h2o_socket_t *Socket =
      h2o_uv_socket_create(reinterpret_cast<uv_stream_t *>(Client), Free);
  this->Connections.add(Socket);
  h2o_accept(&this->AcceptContext, Socket);
  ConnectionTable::interceptReads(Socket);
}

void HttpServer::Impl::stopListening() {
  if (!this->Listener)
    return;
  uv_close(
      reinterpret_cast<uv_handle_t *>(this->Listener),
      [](uv_handle_t *Closed) { delete reinterpret_cast<uv_tcp_t *>(Closed); });
  this->Listener = nullptr;
  if (!this->IsShutDown)
    h2o_context_request_shutdown(&this->Context);
  this->IsShutDown = true;
}

static std::string toStdString(h2o_iovec_t Value) {
  return std::string(Value.base, Value.len);
}

static HttpRequest readRequest(h2o_req_t *Request) {
  HttpRequest Result;
  Result.Method = toStdString(Request->method);
  Result.Authority = toStdString(Request->authority);
  std::string Path = toStdString(Request->path);
  size_t Query = std::min(Request->query_at, Path.size());
  Result.Path = Path.substr(0, Query);
  if (Query < Path.size())
    Result.Query = Path.substr(Query + 1);
  for (size_t I = 0; I < Request->headers.size; ++I) {
    const h2o_header_t &Header = Request->headers.entries[I];
    Result.Headers.add(toStdString(*Header.name), toStdString(Header.value));
  }
  if (Request->entity.base)
    Result.Body = toStdString(Request->entity);
  return Result;
}

int HttpServer::Impl::handleRequest(h2o_req_t *Request) {
  std::shared_ptr<H2oResponder> Responder = H2oResponder::attach(Request);
  if (!this->Handler) {
    Responder->respond({503, {}, ""});
    return 0;
  }
  this->InProgress.push_back(Responder);
  ConnectionTable::onRequestReceived(
      Request->conn->callbacks->get_socket(Request->conn), Responder);
  if (!this->PollTimer)
    this->PollTimer = this->Loop.runAfter(ConnectionPollInterval,
                                          [this] { this->pollConnections(); });
  this->Handler(readRequest(Request), std::move(Responder));
  return 0;
}

void HttpServer::Impl::pollConnections() {
  this->PollTimer = 0;
  for (auto It = this->InProgress.begin(); It != this->InProgress.end();) {
    std::shared_ptr<H2oResponder> Responder = It->lock();
    if (Responder)
      Responder->pollConnection();
    bool IsOver = !Responder || Responder->isClosed();
    It = IsOver ? this->InProgress.erase(It) : std::next(It);
  }
  if (!this->InProgress.empty())
    this->PollTimer = this->Loop.runAfter(ConnectionPollInterval,
                                          [this] { this->pollConnections(); });
}

HttpServer::Builder &HttpServer::Builder::address(Endpoint Value) {
  this->Address = std::move(Value);
  return *this;
}

HttpServer::Builder &HttpServer::Builder::handler(HttpHandler Value) {
  this->Handler = std::move(Value);
  return *this;
}

HttpServer::Builder &HttpServer::Builder::maxBodyBytes(size_t Value) {
  this->MaxBodyBytes = Value;
  return *this;
}

HttpServer::Builder &
HttpServer::Builder::limits(const ConnectionLimits &Value) {
  this->Limits = Value;
  return *this;
}

HttpServer::Builder &HttpServer::Builder::onLimit(LimitCallback Value) {
  this->OnLimit = std::move(Value);
  return *this;
}

HttpServer::Builder &HttpServer::Builder::allowHttp2(bool Value) {
  this->IsHttp2Allowed = Value;
  return *this;
}

HttpServer::Builder &HttpServer::Builder::idleTimeout(absl::Duration Value) {
  this->IdleTimeout = Value;
  return *this;
}

HttpServer::Builder &HttpServer::Builder::requestTimeout(absl::Duration Value) {
  this->RequestTimeout = Value;
  return *this;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Builder::build() {
  if (!this->Handler)
    return absl::InvalidArgumentError("the HTTP server has no handler");
  absl::StatusOr<sockaddr_in> Parsed = parseAddress(this->Address);
  if (!Parsed.ok())
    return Parsed.status();
  auto Implementation = std::make_unique<Impl>(this->Loop, *this);
  absl::Status Status = Implementation->listen(*Parsed);
  std::unique_ptr<HttpServer> Server(new HttpServer(std::move(Implementation)));
  if (!Status.ok())
    return Status;
  return Server;
}

HttpServer::HttpServer(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

HttpServer::~HttpServer() {
  Impl &I = *this->Implementation;
  I.stopListening();
  I.Handler = nullptr;
  if (I.PollTimer)
    I.Loop.cancel(I.PollTimer);
  // h2o still points to Impl; see its comment.
  (void)this->Implementation.release();
}

void HttpServer::setMaxBodyBytes(size_t Value) {
  this->Implementation->Config.max_request_entity_size = Value;
}

HttpServer::Usage HttpServer::usage() const {
  return this->Implementation->Connections.usage();
}

Endpoint HttpServer::address() const {
  sockaddr_in Name = {};
  int Size = sizeof(Name);
  if (this->Implementation->Listener)
    uv_tcp_getsockname(this->Implementation->Listener,
                       reinterpret_cast<sockaddr *>(&Name), &Size);
  return formatAddress(Name);
}

void HttpServer::stopAccepting() {
  this->Implementation->stopListening();
}

size_t HttpServer::requestsInProgress() const {
  size_t Count = 0;
  for (const std::weak_ptr<H2oResponder> &Entry :
       this->Implementation->InProgress) {
    std::shared_ptr<H2oResponder> Responder = Entry.lock();
    if (Responder && !Responder->isClosed())
      ++Count;
  }
  return Count;
}

} // namespace vanillayard
