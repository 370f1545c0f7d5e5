#include "H2oResponder.h"

#include <sys/socket.h>
#include <utility>

namespace vanillayard {

using ResponderSlot = std::shared_ptr<H2oResponder>;

std::shared_ptr<H2oResponder> H2oResponder::attach(h2o_req_t *Request) {
  auto Responder = std::make_shared<H2oResponder>();
  Responder->Request = Request;
  // The request's memory pool owns this slot and disposes of it together with
  // the request.
  void *Memory = h2o_mem_alloc_shared(
      &Request->pool, sizeof(ResponderSlot *), [](void *P) {
        auto *Slot = *static_cast<ResponderSlot **>(P);
        (*Slot)->detach();
        delete Slot;
      });
  *static_cast<ResponderSlot **>(Memory) = new ResponderSlot(Responder);
  return Responder;
}

void H2oResponder::detach() {
  this->Request = nullptr;
  if (std::function<void()> Work = std::exchange(this->EndCallback, nullptr))
    Work();
  this->notifyClosed();
}

void H2oResponder::notifyClosed() {
  if (this->IsCloseNotified)
    return;
  this->IsCloseNotified = true;
  std::function<void()> Work = std::move(this->CloseCallback);
  this->CloseCallback = nullptr;
  bool IsComplete = this->IsAnswered && !this->IsStream;
  if (Work && !IsComplete)
    Work();
}

void H2oResponder::onClose(std::function<void()> Work) {
  this->CloseCallback = std::move(Work);
}

void H2oResponder::pollConnection() {
  if (!this->Request || (this->IsAnswered && !this->IsStream))
    return;
  h2o_socket_t *Socket =
      this->Request->conn->callbacks->get_socket(this->Request->conn);
  char Byte = 0;
  ssize_t Size =
      recv(h2o_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool IsDisconnected =
      Size == 0 || (Size < 0 && errno != EAGAIN && errno != EINTR);
  if (IsDisconnected)
    this->notifyClosed();
}

void H2oResponder::setHead(const HttpResponse &Head) {
  this->Request->res.status = Head.Status;
  this->Request->res.reason = Head.Status < 400 ? "OK" : "Error";
  for (const auto &[Name, Value] : Head.Headers.fields()) {
    h2o_iovec_t NameCopy =
        h2o_strdup(&this->Request->pool, Name.data(), Name.size());
    h2o_iovec_t ValueCopy =
        h2o_strdup(&this->Request->pool, Value.data(), Value.size());
    for (size_t I = 0; I < NameCopy.len; ++I)
      NameCopy.base[I] = static_cast<char>(h2o_tolower(NameCopy.base[I]));
    // h2o would keep a pointer to an original name until it writes the headers,
    // so none is passed and the name is sent in lower case.
    h2o_add_header_by_str(&this->Request->pool, &this->Request->res.headers,
                          NameCopy.base, NameCopy.len, 1, nullptr,
                          ValueCopy.base, ValueCopy.len);
  }
}

void H2oResponder::respond(HttpResponse Response) {
  if (!this->Request || this->IsAnswered)
    return;
  this->IsAnswered = true;
  this->setHead(Response);
  this->Request->res.content_length = Response.Body.size();
  h2o_iovec_t Body = h2o_strdup(&this->Request->pool, Response.Body.data(),
                                Response.Body.size());
  h2o_send_inline(this->Request, Body.base, Body.len);
}

void H2oResponder::respondAndClose(HttpResponse Response) {
  if (this->Request)
    this->Request->http1_is_persistent = 0;
  this->respond(std::move(Response));
}

void H2oResponder::beginStream(HttpResponse Head) {
  if (!this->Request || this->IsAnswered)
    return;
  this->IsAnswered = true;
  this->IsStream = true;
  this->setHead(Head);
  this->Stream.Owner = this;
  this->Stream.Base.proceed = [](h2o_generator_t *Self, h2o_req_t *) {
    H2oResponder *Owner = reinterpret_cast<Generator *>(Self)->Owner;
    Owner->IsSending = false;
    Owner->sendPending();
  };
  this->Stream.Base.stop = nullptr;
  h2o_start_response(this->Request, &this->Stream.Base);
  this->sendPending();
}

void H2oResponder::write(std::string Chunk) {
  if (!this->Request || !this->IsStream || this->IsEnding)
    return;
  this->Chunks.push_back(std::move(Chunk));
  this->sendPending();
}

void H2oResponder::end(bool Abort) {
  if (!this->IsStream || this->IsEnding)
    return;
  this->IsEnding = true;
  this->IsAborting = Abort;
  this->sendPending();
}

void H2oResponder::sendPending() {
  if (!this->Request || this->IsSending)
    return;
  if (this->Chunks.empty() && !this->IsEnding)
    return;
  this->SendBuffer.clear();
  for (std::string &Chunk : this->Chunks)
    this->SendBuffer += Chunk;
  this->Chunks.clear();
  h2o_send_state_t State = H2O_SEND_STATE_IN_PROGRESS;
  if (this->IsEnding)
    State = this->IsAborting ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
  this->IsSending = true;
  // h2o may end the request inside h2o_send(), which detaches this responder.
  std::shared_ptr<H2oResponder> KeepAlive = this->shared_from_this();
  h2o_iovec_t Buffer =
      h2o_iovec_init(this->SendBuffer.data(), this->SendBuffer.size());
  h2o_send(this->Request, &Buffer, this->SendBuffer.empty() ? 0 : 1, State);
}

} // namespace vanillayard
