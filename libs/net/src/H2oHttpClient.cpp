#include "net/H2oHttpClient.h"

#include "base/ErrorKind.h"
#include "base/SystemBootClock.h"
#include "net/Address.h"
#include "net/LoopExecutor.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include <h2o.h>

namespace vanillayard {

static constexpr size_t MaxResponseBytes = 16 << 20;
static constexpr size_t PoolCapacity = 256;
/// Shorter than the servers' idle timeout (10 s), so that the server seldom
/// closes a pooled connection just as the client reuses it.
static constexpr uint64_t PoolIdleMs = 4000;
/// Longest time between two reads of a response. send() has a shorter timeout
/// for each call; a stream, such as a watch, may be silent for long.
static constexpr uint64_t IoTimeoutMs = 3600000;

namespace {

struct Call {
  H2oHttpClient::Impl *Owner = nullptr;
  HttpClient::CallId Id = 0;
  h2o_http1client_t *Client = nullptr;
  std::string RequestText;
  h2o_iovec_t RequestBuffer = {};
  /// Boot clock time after which the request is not sent any more. A suspended
  /// or delayed process can get the connection long after the caller has
  /// decided to send the request.
  absl::Duration SendBefore = absl::InfiniteDuration();
  bool IsConnected = false;
  /// True once h2o has ended the call or it was cancelled.
  bool IsOver = false;
  HttpResponse Response;
  Executor::TimerId Timer = 0;
  HttpClient::ResponseCallback Done;
  HttpClient::ChunkCallback OnChunk;
  HttpClient::EndCallback OnEnd;
};

} // namespace

class H2oHttpClient::Impl {
public:
  explicit Impl(LoopExecutor &Loop);

  CallId startCall(const Endpoint &To, const HttpRequest &Request,
                   std::shared_ptr<Call> NewCall);
  void cancel(CallId Id);
  void finishCall(Call &C, absl::Status Status);
  void onTimeout(CallId Id);
  h2o_socketpool_t *poolFor(const Endpoint &To);

  static h2o_http1client_head_cb
  onConnect(h2o_http1client_t *Client, const char *Error, h2o_iovec_t **Buffers,
            size_t *BufferCount, int *MethodIsHead);
  static h2o_http1client_body_cb onHead(h2o_http1client_t *Client,
                                        const char *Error, int MinorVersion,
                                        int Status, h2o_iovec_t Message,
                                        h2o_header_t *Headers,
                                        size_t HeaderCount, int RawLength);
  static int onBody(h2o_http1client_t *Client, const char *Error);

  LoopExecutor &Loop;
  SystemBootClock Clock;
  h2o_http1client_ctx_t Context = {};
  h2o_timeout_t IoTimeout = {};
  h2o_multithread_queue_t *Queue = nullptr;
  h2o_multithread_receiver_t AddressReceiver = {};
  absl::flat_hash_map<Endpoint, std::unique_ptr<h2o_socketpool_t>> Pools;
  absl::flat_hash_map<CallId, std::shared_ptr<Call>> Calls;
  CallId NextCall = 1;
};

H2oHttpClient::Impl::Impl(LoopExecutor &Loop) : Loop(Loop) {
  h2o_timeout_init(Loop.loop(), &this->IoTimeout, IoTimeoutMs);
  this->Queue = h2o_multithread_create_queue(Loop.loop());
  h2o_multithread_register_receiver(this->Queue, &this->AddressReceiver,
                                    h2o_hostinfo_getaddr_receiver);
  this->Context.loop = Loop.loop();
  this->Context.getaddr_receiver = &this->AddressReceiver;
  this->Context.io_timeout = &this->IoTimeout;
}

h2o_socketpool_t *H2oHttpClient::Impl::poolFor(const Endpoint &To) {
  std::unique_ptr<h2o_socketpool_t> &Slot = this->Pools[To];
  if (Slot)
    return Slot.get();
  absl::StatusOr<sockaddr_in> Address = parseAddress(To);
  if (!Address.ok())
    return nullptr;
  Slot = std::make_unique<h2o_socketpool_t>();
  h2o_socketpool_init_by_address(Slot.get(),
                                 reinterpret_cast<sockaddr *>(&*Address),
                                 sizeof(*Address), 0, PoolCapacity);
  h2o_socketpool_set_timeout(Slot.get(), this->Loop.loop(), PoolIdleMs);
  return Slot.get();
}

static std::string formatRequest(const Endpoint &To,
                                 const HttpRequest &Request) {
  std::string Text = absl::StrCat(
      Request.Method, " ", Request.Path, Request.Query.empty() ? "" : "?",
      Request.Query, " HTTP/1.1\r\nhost: ",
      Request.Authority.empty() ? To.str() : Request.Authority, "\r\n");
  for (const auto &[Name, Value] : Request.Headers.fields())
    absl::StrAppend(&Text, Name, ": ", Value, "\r\n");
  if (!Request.Body.empty() || Request.Method != "GET")
    absl::StrAppend(&Text, "content-length: ", Request.Body.size(), "\r\n");
  absl::StrAppend(&Text, "\r\n", Request.Body);
  return Text;
}

HttpClient::CallId
H2oHttpClient::Impl::startCall(const Endpoint &To, const HttpRequest &Request,
                               std::shared_ptr<Call> NewCall) {
  Call &C = *NewCall;
  C.Owner = this;
  C.Id = this->NextCall++;
  C.RequestText = formatRequest(To, Request);
  C.RequestBuffer = h2o_iovec_init(C.RequestText.data(), C.RequestText.size());
  this->Calls.emplace(C.Id, std::move(NewCall));
  h2o_socketpool_t *Pool = this->poolFor(To);
  if (!Pool) {
    this->finishCall(
        C, makeError(ErrorKind::NoCapacity,
                     absl::StrCat("not an IP:port address: ", To.str())));
    return C.Id;
  }
  h2o_http1client_connect_with_pool(&C.Client, &C, &this->Context, Pool,
                                    onConnect);
  return C.Id;
}

/// Ends a call and posts its callback to the executor. The callback does not
/// run if the call is cancelled before.
void H2oHttpClient::Impl::finishCall(Call &C, absl::Status Status) {
  C.IsOver = true;
  C.Client = nullptr;
  if (C.Timer)
    this->Loop.cancel(C.Timer);
  this->Loop.post([this, Id = C.Id, Status = std::move(Status)] {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    std::shared_ptr<Call> Ended = std::move(Found->second);
    this->Calls.erase(Found);
    if (Ended->OnEnd)
      Ended->OnEnd(Status);
    else if (Status.ok())
      Ended->Done(std::move(Ended->Response));
    else
      Ended->Done(Status);
  });
}

void H2oHttpClient::Impl::cancel(CallId Id) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  std::shared_ptr<Call> C = std::move(Found->second);
  this->Calls.erase(Found);
  if (C->Timer)
    this->Loop.cancel(C->Timer);
  if (!C->IsOver)
    h2o_http1client_cancel(C->Client);
  C->IsOver = true;
}

void H2oHttpClient::Impl::onTimeout(CallId Id) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || Found->second->IsOver)
    return;
  Call &C = *Found->second;
  C.Timer = 0;
  h2o_http1client_cancel(C.Client);
  this->finishCall(C, makeError(C.IsConnected ? ErrorKind::OutcomeUnknown
                                              : ErrorKind::NoCapacity,
                                "no answer in time"));
}

h2o_http1client_head_cb
H2oHttpClient::Impl::onConnect(h2o_http1client_t *Client, const char *Error,
                               h2o_iovec_t **Buffers, size_t *BufferCount,
                               int *MethodIsHead) {
  auto *C = static_cast<Call *>(Client->data);
  if (Error) {
    C->Owner->finishCall(*C,
                         makeError(ErrorKind::NoCapacity,
                                   absl::StrCat("connect failed: ", Error)));
    return nullptr;
  }
  if (C->Owner->Clock.now() > C->SendBefore) {
    C->Owner->finishCall(
        *C, makeError(ErrorKind::NoCapacity,
                      "the connection was ready after the call's timeout"));
    return nullptr;
  }
  C->IsConnected = true;
  *Buffers = &C->RequestBuffer;
  *BufferCount = 1;
  *MethodIsHead = 0;
  return onHead;
}

h2o_http1client_body_cb H2oHttpClient::Impl::onHead(h2o_http1client_t *Client,
                                                    const char *Error, int,
                                                    int Status, h2o_iovec_t,
                                                    h2o_header_t *Headers,
                                                    size_t HeaderCount, int) {
  auto *C = static_cast<Call *>(Client->data);
  if (Error && Error != h2o_http1client_error_is_eos) {
    C->Owner->finishCall(*C,
                         makeError(ErrorKind::OutcomeUnknown,
                                   absl::StrCat("connection lost: ", Error)));
    return nullptr;
  }
  C->Response.Status = Status;
  for (size_t I = 0; I < HeaderCount; ++I)
    C->Response.Headers.add(
        std::string(Headers[I].name->base, Headers[I].name->len),
        std::string(Headers[I].value.base, Headers[I].value.len));
  if (!Error)
    return onBody;
  C->Owner->finishCall(*C, absl::OkStatus());
  return nullptr;
}

int H2oHttpClient::Impl::onBody(h2o_http1client_t *Client, const char *Error) {
  auto *C = static_cast<Call *>(Client->data);
  Impl *Owner = C->Owner;
  if (Error && Error != h2o_http1client_error_is_eos) {
    Owner->finishCall(*C,
                      makeError(ErrorKind::AnswerTruncated,
                                absl::StrCat("response truncated: ", Error)));
    return -1;
  }
  h2o_buffer_t *&Input = Client->sock->input;
  std::string Chunk(Input->bytes, Input->size);
  h2o_buffer_consume(&Input, Input->size);
  if (C->OnChunk && !Chunk.empty())
    Owner->Loop.post([Owner, Id = C->Id, Chunk] {
      auto Found = Owner->Calls.find(Id);
      if (Found == Owner->Calls.end())
        return;
      std::shared_ptr<Call> Live = Found->second;
      Live->OnChunk(Chunk);
    });
  else
    C->Response.Body += Chunk;
  if (C->Response.Body.size() > MaxResponseBytes) {
    Owner->finishCall(*C, makeError(ErrorKind::AnswerTruncated,
                                    "the response exceeds the size limit"));
    return -1;
  }
  if (Error)
    Owner->finishCall(*C, absl::OkStatus());
  return 0;
}

H2oHttpClient::H2oHttpClient(LoopExecutor &Loop)
    : Implementation(std::make_unique<Impl>(Loop)) {}

H2oHttpClient::~H2oHttpClient() {
  std::vector<CallId> Open;
  for (const auto &Entry : this->Implementation->Calls)
    Open.push_back(Entry.first);
  for (CallId Id : Open)
    this->Implementation->cancel(Id);
  // h2o's connection pools keep timers in the loop that point to this state,
  // so it is never freed.
  (void)this->Implementation.release();
}

HttpClient::CallId H2oHttpClient::send(const Endpoint &To, HttpRequest Request,
                                       absl::Duration Timeout,
                                       ResponseCallback Done) {
  Impl *I = this->Implementation.get();
  auto NewCall = std::make_shared<Call>();
  NewCall->Done = std::move(Done);
  NewCall->SendBefore = I->Clock.now() + Timeout;
  CallId Id = I->startCall(To, Request, NewCall);
  if (!NewCall->IsOver)
    NewCall->Timer = I->Loop.runAfter(Timeout, [I, Id] { I->onTimeout(Id); });
  return Id;
}

HttpClient::CallId H2oHttpClient::stream(const Endpoint &To,
                                         HttpRequest Request,
                                         ChunkCallback OnChunk,
                                         EndCallback OnEnd) {
  auto NewCall = std::make_shared<Call>();
  NewCall->OnChunk = std::move(OnChunk);
  NewCall->OnEnd = std::move(OnEnd);
  return this->Implementation->startCall(To, Request, std::move(NewCall));
}

void H2oHttpClient::cancel(CallId Call) {
  this->Implementation->cancel(Call);
}

} // namespace vanillayard
