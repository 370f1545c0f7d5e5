#ifndef VANILLAYARD_NET_SRC_H2ORESPONDER_H
#define VANILLAYARD_NET_SRC_H2ORESPONDER_H

#include "net/HttpResponder.h"

#include <h2o.h>

#include <deque>

namespace vanillayard {

/// HttpResponder for an h2o request. The request may end before the response
/// was sent; h2o then disposes of the request's memory pool, which detaches
/// the responder.
class H2oResponder final : public HttpResponder,
                           public std::enable_shared_from_this<H2oResponder> {
public:
  /// Makes a responder that is detached when h2o ends \p Request.
  static std::shared_ptr<H2oResponder> attach(h2o_req_t *Request);

  void respond(HttpResponse Response) override;
  void beginStream(HttpResponse Head) override;
  void write(std::string Chunk) override;
  void end(bool Abort) override;
  bool isClosed() const override { return this->Request == nullptr; }
  /// True if the whole response was passed to h2o and h2o has not sent all of
  /// it.
  bool isAwaitingSend() const {
    return this->Request && this->IsAnswered &&
           (!this->IsStream || this->IsEnding);
  }
  void onClose(std::function<void()> Work) override;

  /// Sends the whole response and closes the connection after it. Has no effect
  /// after respond() or beginStream().
  void respondAndClose(HttpResponse Response);

  /// Runs \p Work when h2o ends the request, before it reads the next one of
  /// the connection.
  void onRequestEnded(std::function<void()> Work) {
    this->EndCallback = std::move(Work);
  }

  /// Checks whether the client has closed its connection. The server calls
  /// this regularly, as h2o does not read from a connection while a request is
  /// in progress.
  void pollConnection();

private:
  struct Generator {
    h2o_generator_t Base;
    H2oResponder *Owner;
  };

  void detach();
  void notifyClosed();
  void setHead(const HttpResponse &Head);
  void sendPending();

  h2o_req_t *Request = nullptr;
  bool IsAnswered = false;
  bool IsStream = false;
  bool IsSending = false;
  bool IsEnding = false;
  bool IsAborting = false;
  bool IsCloseNotified = false;
  Generator Stream = {};
  std::deque<std::string> Chunks;
  std::string SendBuffer;
  std::function<void()> CloseCallback;
  std::function<void()> EndCallback;
};

} // namespace vanillayard

#endif
