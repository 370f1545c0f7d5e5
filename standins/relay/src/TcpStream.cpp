#include "TcpStream.h"

namespace vanillayard {

static constexpr size_t ReadBufferBytes = 64 << 10;

/// The libuv handle and its callbacks. Lives until libuv has closed the handle.
struct TcpStream::State {
  uv_tcp_t Handle = {};
  bool Closed = false;
  bool Reading = false;
  ReadCallback Read;
  ErrorCallback Failed;
  std::function<void()> Connected;
  std::string Buffer = std::string(ReadBufferBytes, '\0');
  /// Keeps this state alive while libuv refers to the handle.
  std::shared_ptr<State> Self;

  uv_stream_t *stream() {
    return reinterpret_cast<uv_stream_t *>(&this->Handle);
  }
  void fail() {
    // The callback may destroy the stream.
    ErrorCallback Call = this->Failed;
    if (!this->Closed && Call)
      Call();
  }
};

template <typename Request> static void *handleData(Request *R) {
  return R->handle->data;
}

TcpStream::TcpStream(uv_loop_t *Loop) : Shared(std::make_shared<State>()) {
  this->Shared->Self = this->Shared;
  this->Shared->Handle.data = this->Shared.get();
  uv_tcp_init(Loop, &this->Shared->Handle);
}

TcpStream::~TcpStream() {
  State &S = *this->Shared;
  S.Closed = true;
  S.Read = nullptr;
  S.Failed = nullptr;
  S.Connected = nullptr;
  uv_close(reinterpret_cast<uv_handle_t *>(&S.Handle), [](uv_handle_t *H) {
    std::shared_ptr<State> Last =
        std::move(static_cast<State *>(H->data)->Self);
  });
}

bool TcpStream::accept(uv_tcp_t *Listener) {
  uv_tcp_nodelay(&this->Shared->Handle, 1);
  return uv_accept(reinterpret_cast<uv_stream_t *>(Listener),
                   this->Shared->stream()) == 0;
}

void TcpStream::connect(const sockaddr_in &Address,
                        std::function<void()> Connected) {
  this->Shared->Connected = std::move(Connected);
  uv_tcp_nodelay(&this->Shared->Handle, 1);
  auto *Request = new uv_connect_t;
  auto Done = [](uv_connect_t *R, int Status) {
    auto *S = static_cast<State *>(handleData(R));
    delete R;
    if (S->Closed)
      return;
    std::function<void()> Call = std::move(S->Connected);
    S->Connected = nullptr;
    if (Status != 0)
      return S->fail();
    Call();
  };
  int Code = uv_tcp_connect(Request, &this->Shared->Handle,
                            reinterpret_cast<const sockaddr *>(&Address), Done);
  if (Code == 0)
    return;
  delete Request;
  this->Shared->fail();
}

void TcpStream::onEvents(ReadCallback Read, ErrorCallback Failed) {
  this->Shared->Read = std::move(Read);
  this->Shared->Failed = std::move(Failed);
}

void TcpStream::setReading(bool Wanted) {
  State &S = *this->Shared;
  if (S.Reading == Wanted)
    return;
  S.Reading = Wanted;
  if (!Wanted) {
    uv_read_stop(S.stream());
    return;
  }
  auto Allocate = [](uv_handle_t *H, size_t, uv_buf_t *Into) {
    std::string &Buffer = static_cast<State *>(H->data)->Buffer;
    *Into = uv_buf_init(Buffer.data(), static_cast<unsigned>(Buffer.size()));
  };
  auto Done = [](uv_stream_t *H, ssize_t Size, const uv_buf_t *From) {
    auto *S = static_cast<State *>(H->data);
    if (Size == 0 || S->Closed)
      return;
    if (Size < 0 && Size != UV_EOF)
      return S->fail();
    if (Size == UV_EOF)
      uv_read_stop(H);
    ReadCallback Call = S->Read;
    if (Call)
      Call(Size > 0 ? std::string(From->base, static_cast<size_t>(Size))
                    : std::string());
  };
  uv_read_start(S.stream(), Allocate, Done);
}

void TcpStream::write(std::string Data) {
  struct Write {
    uv_write_t Request;
    std::string Data;
  };
  auto *W = new Write{{}, std::move(Data)};
  W->Request.data = W;
  uv_buf_t Buffer =
      uv_buf_init(W->Data.data(), static_cast<unsigned>(W->Data.size()));
  auto Done = [](uv_write_t *R, int Status) {
    auto *S = static_cast<State *>(handleData(R));
    delete static_cast<Write *>(R->data);
    if (Status != 0)
      S->fail();
  };
  if (uv_write(&W->Request, this->Shared->stream(), &Buffer, 1, Done) != 0)
    delete W;
}

void TcpStream::shutdown() {
  auto *Request = new uv_shutdown_t;
  auto Done = [](uv_shutdown_t *R, int) { delete R; };
  if (uv_shutdown(Request, this->Shared->stream(), Done) != 0)
    delete Request;
}

} // namespace vanillayard
