#include "net/FramedListener.h"

#include "net/Address.h"
#include "net/LoopExecutor.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <set>
#include <uv.h>

namespace vanillayard {

static constexpr size_t HeaderBytes = 4;
static constexpr size_t ReadBufferBytes = 64 << 10;
static constexpr int ListenBacklog = 128;

static void closeTcp(uv_tcp_t *Handle) {
  Handle->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t *>(Handle), [](uv_handle_t *Closed) {
    delete reinterpret_cast<uv_tcp_t *>(Closed);
  });
}

static absl::Status uvError(const char *Operation, int Code) {
  return absl::UnavailableError(
      absl::StrCat(Operation, " failed: ", uv_strerror(Code)));
}

namespace {

class TcpFramedLink;

/// The links that a listener has accepted, which share a limit of input.
struct LinkGroup {
  size_t MaxInputBytes;
  size_t InputBytes = 0;
  std::set<TcpFramedLink *> Links;
};

class TcpFramedLink final : public FramedLink {
public:
  /// \param Group null for a link without a limit of input.
  TcpFramedLink(uv_tcp_t *Handle, std::shared_ptr<LinkGroup> Group);
  ~TcpFramedLink() override;

  void setCallbacks(MessageCallback OnMessage, CloseCallback OnClose) override;
  absl::Status send(const std::string &Message) override;
  size_t queuedBytes() const override;

private:
  struct Write {
    uv_write_t Request;
    std::string Bytes;
  };

  void onBytesReceived(std::string_view Bytes);
  void closeWithError(absl::Status Status);
  bool deliverFrames();
  void countInput();
  void keepInputLimit();

  uv_tcp_t *Handle;
  std::shared_ptr<LinkGroup> Group;
  std::string Input;
  /// Part of Input that is counted in Group.
  size_t CountedBytes = 0;
  MessageCallback OnMessage;
  CloseCallback OnClose;
  /// The destructor sets the flag that this points to, because a callback may
  /// destroy the link. Null unless onBytesReceived() is running.
  bool *DestroyedFlag = nullptr;
};

} // namespace

TcpFramedLink::TcpFramedLink(uv_tcp_t *Handle, std::shared_ptr<LinkGroup> Group)
    : Handle(Handle), Group(std::move(Group)) {
  if (this->Group)
    this->Group->Links.insert(this);
  Handle->data = this;
  uv_tcp_nodelay(Handle, 1);
}

TcpFramedLink::~TcpFramedLink() {
  if (this->DestroyedFlag)
    *this->DestroyedFlag = true;
  if (this->Group) {
    this->Group->InputBytes -= this->CountedBytes;
    this->Group->Links.erase(this);
  }
  if (this->Handle)
    closeTcp(this->Handle);
}

void TcpFramedLink::setCallbacks(MessageCallback OnMessage,
                                 CloseCallback OnClose) {
  this->OnMessage = std::move(OnMessage);
  this->OnClose = std::move(OnClose);
  if (!this->Handle)
    return;
  uv_read_start(
      reinterpret_cast<uv_stream_t *>(this->Handle),
      [](uv_handle_t *H, size_t, uv_buf_t *Buffer) {
        // libuv passes the buffer on before it asks for the next one.
        static thread_local char ReadBuffer[ReadBufferBytes];
        *Buffer = H->data ? uv_buf_init(ReadBuffer, ReadBufferBytes)
                          : uv_buf_init(nullptr, 0);
      },
      [](uv_stream_t *Stream, ssize_t Size, const uv_buf_t *Buffer) {
        auto *Link = static_cast<TcpFramedLink *>(Stream->data);
        if (!Link || Size == 0)
          return;
        if (Size < 0)
          Link->closeWithError(uvError("read", static_cast<int>(Size)));
        else
          Link->onBytesReceived({Buffer->base, static_cast<size_t>(Size)});
      });
}

size_t TcpFramedLink::queuedBytes() const {
  return this->Handle ? uv_stream_get_write_queue_size(
                            reinterpret_cast<uv_stream_t *>(this->Handle))
                      : 0;
}

absl::Status TcpFramedLink::send(const std::string &Message) {
  if (!this->Handle)
    return absl::UnavailableError("the link is closed");
  if (Message.size() > MaxFrameBytes)
    return absl::InvalidArgumentError(
        "the message exceeds the maximum frame size");
  auto *Stream = reinterpret_cast<uv_stream_t *>(this->Handle);
  if (uv_stream_get_write_queue_size(Stream) + Message.size() > MaxQueuedBytes)
    return absl::ResourceExhaustedError(
        "the send queue is full: the peer does not read");
  auto *W = new Write;
  uint32_t Length = htonl(static_cast<uint32_t>(Message.size()));
  W->Bytes.reserve(HeaderBytes + Message.size());
  W->Bytes.append(reinterpret_cast<const char *>(&Length), HeaderBytes);
  W->Bytes.append(Message);
  W->Request.data = W;
  uv_buf_t Buffer = uv_buf_init(W->Bytes.data(), W->Bytes.size());
  int Code = uv_write(&W->Request, Stream, &Buffer, 1, [](uv_write_t *R, int) {
    delete static_cast<Write *>(R->data);
  });
  if (Code == 0)
    return absl::OkStatus();
  delete W;
  return uvError("write", Code);
}

void TcpFramedLink::onBytesReceived(std::string_view Bytes) {
  this->Input.append(Bytes);
  bool WasDestroyed = false;
  this->DestroyedFlag = &WasDestroyed;
  bool IsValid = this->deliverFrames();
  if (WasDestroyed)
    return;
  this->DestroyedFlag = nullptr;
  if (!IsValid)
    return this->closeWithError(
        absl::InvalidArgumentError("the peer sent a frame that exceeds "
                                   "the maximum size"));
  this->countInput();
  this->keepInputLimit();
}

void TcpFramedLink::countInput() {
  if (!this->Group)
    return;
  this->Group->InputBytes += this->Input.size() - this->CountedBytes;
  this->CountedBytes = this->Input.size();
}

/// Closes the links that hold the most until the group is within its limit.
/// May destroy this link.
void TcpFramedLink::keepInputLimit() {
  std::shared_ptr<LinkGroup> Shared = this->Group;
  while (Shared && Shared->InputBytes > Shared->MaxInputBytes) {
    TcpFramedLink *Largest =
        *std::max_element(Shared->Links.begin(), Shared->Links.end(),
                          [](const TcpFramedLink *A, const TcpFramedLink *B) {
                            return A->CountedBytes < B->CountedBytes;
                          });
    Largest->Input = std::string();
    Largest->countInput();
    Largest->closeWithError(absl::ResourceExhaustedError(
        "the links hold too many bytes of partly received frames"));
  }
}

bool TcpFramedLink::deliverFrames() {
  bool *WasDestroyed = this->DestroyedFlag;
  size_t Offset = 0;
  while (this->Input.size() - Offset >= HeaderBytes) {
    uint32_t Length = 0;
    std::memcpy(&Length, this->Input.data() + Offset, HeaderBytes);
    Length = ntohl(Length);
    if (Length > MaxFrameBytes)
      return false;
    if (this->Input.size() - Offset - HeaderBytes < Length)
      break;
    std::string Frame = this->Input.substr(Offset + HeaderBytes, Length);
    Offset += HeaderBytes + Length;
    this->OnMessage(std::move(Frame));
    if (*WasDestroyed)
      return true;
  }
  this->Input.erase(0, Offset);
  return true;
}

void TcpFramedLink::closeWithError(absl::Status Status) {
  if (!this->Handle)
    return;
  closeTcp(this->Handle);
  this->Handle = nullptr;
  CloseCallback Callback = std::move(this->OnClose);
  if (Callback)
    Callback(std::move(Status));
}

namespace {

class TcpFramedListener final : public FramedListener {
public:
  using AcceptCallback = std::function<void(std::unique_ptr<FramedLink>)>;

  TcpFramedListener(uv_tcp_t *Handle, AcceptCallback Accepted,
                    size_t MaxInputBytes)
      : Handle(Handle), Accepted(std::move(Accepted)),
        Group(std::make_shared<LinkGroup>(LinkGroup{MaxInputBytes, 0, {}})) {
    Handle->data = this;
  }
  ~TcpFramedListener() override { closeTcp(this->Handle); }

  Endpoint address() const override {
    sockaddr_in Name = {};
    int Size = sizeof(Name);
    uv_tcp_getsockname(this->Handle, reinterpret_cast<sockaddr *>(&Name),
                       &Size);
    return formatAddress(Name);
  }

  int listen() {
    return uv_listen(reinterpret_cast<uv_stream_t *>(this->Handle),
                     ListenBacklog, [](uv_stream_t *Stream, int Status) {
                       auto *Self =
                           static_cast<TcpFramedListener *>(Stream->data);
                       if (Self && Status == 0)
                         Self->accept();
                     });
  }

private:
  void accept() {
    auto *Client = new uv_tcp_t;
    uv_tcp_init(this->Handle->loop, Client);
    if (uv_accept(reinterpret_cast<uv_stream_t *>(this->Handle),
                  reinterpret_cast<uv_stream_t *>(Client)) != 0) {
      closeTcp(Client);
      return;
    }
    this->Accepted(std::make_unique<TcpFramedLink>(Client, this->Group));
  }

  uv_tcp_t *Handle;
  AcceptCallback Accepted;
  std::shared_ptr<LinkGroup> Group;
};

struct PendingConnect {
  uv_connect_t Request;
  uv_tcp_t *Handle;
  std::function<void(absl::StatusOr<std::unique_ptr<FramedLink>>)> Done;
};

} // namespace

static void onConnectEnded(uv_connect_t *Request, int Status) {
  std::unique_ptr<PendingConnect> Pending(
      static_cast<PendingConnect *>(Request->data));
  if (Status == 0) {
    Pending->Done(std::make_unique<TcpFramedLink>(Pending->Handle, nullptr));
    return;
  }
  closeTcp(Pending->Handle);
  Pending->Done(uvError("connect", Status));
}

void connectFramed(
    LoopExecutor &Loop, const Endpoint &To,
    std::function<void(absl::StatusOr<std::unique_ptr<FramedLink>>)> Done) {
  absl::StatusOr<sockaddr_in> Address = parseAddress(To);
  if (!Address.ok()) {
    Loop.post(
        [Done = std::move(Done), Status = Address.status()] { Done(Status); });
    return;
  }
  auto Pending = std::make_unique<PendingConnect>();
  Pending->Handle = new uv_tcp_t;
  Pending->Done = std::move(Done);
  Pending->Request.data = Pending.get();
  uv_tcp_init(Loop.loop(), Pending->Handle);
  int Code = uv_tcp_connect(&Pending->Request, Pending->Handle,
                            reinterpret_cast<const sockaddr *>(&*Address),
                            onConnectEnded);
  if (Code == 0) {
    // onConnectEnded() takes ownership.
    (void)Pending.release();
    return;
  }
  closeTcp(Pending->Handle);
  Loop.post([Done = std::move(Pending->Done), Code] {
    Done(uvError("connect", Code));
  });
}

absl::StatusOr<std::unique_ptr<FramedListener>>
listenFramed(LoopExecutor &Loop, const Endpoint &Address,
             std::function<void(std::unique_ptr<FramedLink>)> Accepted,
             size_t MaxInputBytes) {
  absl::StatusOr<sockaddr_in> Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  auto *Handle = new uv_tcp_t;
  uv_tcp_init(Loop.loop(), Handle);
  auto Listener = std::make_unique<TcpFramedListener>(
      Handle, std::move(Accepted), MaxInputBytes);
  int Code =
      uv_tcp_bind(Handle, reinterpret_cast<const sockaddr *>(&*Parsed), 0);
  if (Code == 0)
    Code = Listener->listen();
  if (Code != 0)
    return uvError("listen", Code);
  return Listener;
}

} // namespace vanillayard
