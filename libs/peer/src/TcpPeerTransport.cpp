#include "peer/TcpPeerTransport.h"

#include "TcpPeerTransportImpl.h"

#include <utility>

namespace vanillayard {

using Builder = TcpPeerTransport::Builder;

Builder &Builder::listen(Endpoint Value) {
  this->ListenAddress = std::move(Value);
  return *this;
}

Builder &Builder::announce(Endpoint Value) {
  this->AnnouncedAddress = std::move(Value);
  return *this;
}

Builder &Builder::minBackoff(absl::Duration Value) {
  this->MinBackoff = Value;
  return *this;
}

Builder &Builder::maxBackoff(absl::Duration Value) {
  this->MaxBackoff = Value;
  return *this;
}

Builder &Builder::idleTimeout(absl::Duration Value) {
  this->IdleTimeout = Value;
  return *this;
}

Builder &Builder::log(Log *Value) {
  this->Output = Value;
  return *this;
}

absl::StatusOr<std::unique_ptr<TcpPeerTransport>> Builder::build() {
  if (this->MinBackoff <= absl::ZeroDuration() ||
      this->MaxBackoff < this->MinBackoff ||
      this->IdleTimeout <= absl::ZeroDuration())
    return absl::InvalidArgumentError(
        "the backoffs and the idle timeout must be positive and the maximum "
        "backoff not below the minimum");
  auto Implementation = std::make_unique<Impl>(*this);
  absl::Status Status = Implementation->start(this->ListenAddress);
  if (!Status.ok())
    return Status;
  return std::unique_ptr<TcpPeerTransport>(
      new TcpPeerTransport(std::move(Implementation)));
}

TcpPeerTransport::TcpPeerTransport(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

TcpPeerTransport::~TcpPeerTransport() = default;

void TcpPeerTransport::connect(const Endpoint &Peer) {
  this->Implementation->connect(Peer);
}

void TcpPeerTransport::forget(const Endpoint &Peer) {
  this->Implementation->forget(Peer);
}

absl::Status TcpPeerTransport::send(const Endpoint &Peer, std::string Message) {
  return this->Implementation->send(Peer, Message);
}

void TcpPeerTransport::onReceive(ReceiveCallback Receive) {
  this->Implementation->Receive = std::move(Receive);
}

Endpoint TcpPeerTransport::address() const {
  return this->Implementation->Announced;
}

size_t TcpPeerTransport::connectionCount() const {
  return this->Implementation->connectionCount();
}

} // namespace vanillayard
