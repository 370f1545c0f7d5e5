#include "TcpPeerTransportImpl.h"

#include "net/LoopExecutor.h"
#include "observe/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// The first frame of each side is its greeting: this prefix, the random id of
/// the process, a space and the announced address.
static constexpr std::string_view GreetingPrefix = "VYP1 ";
static constexpr size_t MaxGreetingBytes = 128;
static constexpr absl::Duration TickInterval = absl::Seconds(1);
static constexpr absl::Duration MaxKeepAliveAfter = absl::Seconds(2);
/// A keep-alive is due after this share of the idle timeout, so that a process
/// that is paused for less than the rest does not seem to be silent.
static constexpr int KeepAlivesPerIdleTimeout = 3;
/// A new connection replaces one that has been silent for this long, whoever
/// dialled it.
static constexpr absl::Duration StaleAfter = absl::Seconds(4);
static constexpr absl::Duration GreetingTimeout = absl::Seconds(5);
/// The loss of a connection that lasted this long resets the backoff.
static constexpr absl::Duration StableAfter = absl::Seconds(5);
/// Maximum number of connection attempts to one address at the same time. An
/// attempt to a host that does not answer lasts until the kernel gives up,
/// about two minutes; further attempts start every AttemptTimeout meanwhile.
static constexpr int MaxAttempts = 8;
static constexpr absl::Duration AttemptTimeout = absl::Seconds(3);
static constexpr size_t MaxConnections = 1024;

TcpPeerTransport::Impl::Impl(const Builder &Options)
    : Announced(Options.AnnouncedAddress), Loop(Options.Loop),
      MinBackoff(Options.MinBackoff), MaxBackoff(Options.MaxBackoff),
      IdleTimeout(Options.IdleTimeout), Output(Options.Output),
      Process(fmt::format("{:016x}", absl::Uniform<uint64_t>(this->Random))),
      LastTick(Options.Loop.now()) {}

TcpPeerTransport::Impl::~Impl() {
  this->Loop.cancel(this->Ticker);
  for (auto &[Peer, D] : this->Dials)
    this->Loop.cancel(D.Retry);
}

absl::Status TcpPeerTransport::Impl::start(const Endpoint &ListenAddress) {
  auto Opened = listenFramed(this->Loop, ListenAddress,
                             [this](std::unique_ptr<FramedLink> Link) {
                               if (this->Connections.size() < MaxConnections)
                                 this->linkOpened(std::move(Link), Endpoint());
                             });
  if (!Opened.ok())
    return Opened.status();
  this->Listener = std::move(*Opened);
  if (this->Announced.empty())
    this->Announced = this->Listener->address();
  this->Ticker = this->Loop.runAfter(TickInterval, [this] { this->tick(); });
  return absl::OkStatus();
}

void TcpPeerTransport::Impl::connect(const Endpoint &Peer) {
  if (Peer == this->Announced || !this->Dials.try_emplace(Peer).second)
    return;
  this->dial(Peer);
}

void TcpPeerTransport::Impl::forget(const Endpoint &Peer) {
  if (Connection *C = this->activeFor(Peer))
    this->close(this->Active.at(C->Peer), absl::OkStatus());
  auto Found = this->Dials.find(Peer);
  if (Found == this->Dials.end())
    return;
  this->Loop.cancel(Found->second.Retry);
  this->Dials.erase(Found);
}

TcpPeerTransport::Impl::Connection *
TcpPeerTransport::Impl::activeFor(const Endpoint &Peer) {
  auto Found = this->Active.find(Peer);
  if (Found == this->Active.end()) {
    auto D = this->Dials.find(Peer);
    if (D == this->Dials.end())
      return nullptr;
    Found = this->Active.find(D->second.PeerAddress);
  }
  return Found == this->Active.end()
             ? nullptr
             : this->Connections.at(Found->second).get();
}

absl::Status TcpPeerTransport::Impl::send(const Endpoint &Peer,
                                          const std::string &Message) {
  if (Message.empty())
    return absl::InvalidArgumentError(
        "an empty message cannot be sent: it would be a keep-alive");
  Connection *C = this->activeFor(Peer);
  if (!C)
    return absl::UnavailableError("no connection to the peer");
  return this->sendOn(*C, Message);
}

absl::Status TcpPeerTransport::Impl::sendOn(Connection &C,
                                            const std::string &Message) {
  C.LastSent = this->Loop.now();
  return C.Link->send(Message);
}

void TcpPeerTransport::Impl::dial(const Endpoint &Peer) {
  Dial &D = this->Dials.at(Peer);
  D.Retry = 0;
  if (this->activeFor(Peer))
    return;
  if (D.Attempts < MaxAttempts) {
    ++D.Attempts;
    connectFramed(this->Loop, Peer,
                  [this, Peer, Token = std::weak_ptr<bool>(this->Alive)](
                      absl::StatusOr<std::unique_ptr<FramedLink>> Link) {
                    if (!Token.expired())
                      this->dialFinished(Peer, std::move(Link));
                  });
  }
  D.Retry =
      this->Loop.runAfter(AttemptTimeout, [this, Peer] { this->dial(Peer); });
}

void TcpPeerTransport::Impl::dialFinished(
    const Endpoint &Peer, absl::StatusOr<std::unique_ptr<FramedLink>> Link) {
  auto Found = this->Dials.find(Peer);
  if (Found == this->Dials.end())
    return;
  Dial &D = Found->second;
  D.Attempts = std::max(D.Attempts - 1, 0);
  if (this->activeFor(Peer))
    return;
  if (!Link.ok()) {
    this->retryLater(Peer);
    return;
  }
  this->Loop.cancel(D.Retry);
  this->linkOpened(std::move(*Link), Peer);
}

// Uses full jitter, so that hosts that lost the same peer do not redial at the
// same time.
void TcpPeerTransport::Impl::retryLater(const Endpoint &Peer) {
  Dial &D = this->Dials.at(Peer);
  this->Loop.cancel(D.Retry);
  constexpr int MaxDoublings = 20;
  absl::Duration Longest = std::min(
      this->MaxBackoff,
      this->MinBackoff * (int64_t(1) << std::min(D.Failures, MaxDoublings)));
  ++D.Failures;
  absl::Duration Delay = Longest * absl::Uniform(this->Random, 0.0, 1.0);
  D.Retry = this->Loop.runAfter(Delay, [this, Peer] { this->dial(Peer); });
}

void TcpPeerTransport::Impl::linkOpened(std::unique_ptr<FramedLink> Link,
                                        const Endpoint &Dialled) {
  Id Number = this->NextId++;
  auto C = std::make_unique<Connection>();
  C->Link = std::move(Link);
  C->Dialled = Dialled;
  C->Opened = C->LastReceived = this->Loop.now();
  Connection &Added = *C;
  this->Connections.emplace(Number, std::move(C));
  std::weak_ptr<bool> Token = this->Alive;
  Added.Link->setCallbacks(
      [this, Number, Token](std::string Message) {
        if (!Token.expired())
          this->received(Number, std::move(Message));
      },
      [this, Number, Token](const absl::Status &Reason) {
        if (!Token.expired())
          this->close(Number, Reason);
      });
  (void)this->sendOn(Added, fmt::format("{}{} {}", GreetingPrefix,
                                        this->Process, this->Announced.str()));
}

void TcpPeerTransport::Impl::received(Id Number, std::string Message) {
  auto Found = this->Connections.find(Number);
  if (Found == this->Connections.end())
    return;
  Connection &C = *Found->second;
  C.LastReceived = this->Loop.now();
  if (C.Peer.empty()) {
    this->greetingReceived(Number, Message);
    return;
  }
  if (!Message.empty() && this->Receive)
    this->Receive(C.Peer, std::move(Message));
}

void TcpPeerTransport::Impl::greetingReceived(Id Number,
                                              const std::string &Greeting) {
  size_t Space = Greeting.find(' ', GreetingPrefix.size());
  if (Greeting.size() > MaxGreetingBytes || Space == std::string::npos ||
      Greeting.compare(0, GreetingPrefix.size(), GreetingPrefix) != 0) {
    this->close(Number, absl::InvalidArgumentError(
                            "the first frame is not a valid greeting"));
    return;
  }
  Connection &C = *this->Connections.at(Number);
  C.PeerProcess =
      Greeting.substr(GreetingPrefix.size(), Space - GreetingPrefix.size());
  C.Peer = Endpoint(Greeting.substr(Space + 1));
  if (C.Peer.empty() || C.Peer == this->Announced) {
    // The dialled address is one of this host.
    this->Dials.erase(C.Dialled);
    this->close(Number,
                absl::InvalidArgumentError(
                    "the greeting holds no address or that of this host"));
    return;
  }
  auto D = this->Dials.find(C.Dialled);
  if (D != this->Dials.end())
    D->second.PeerAddress = C.Peer;
  auto Existing = this->Active.find(C.Peer);
  if (Existing != this->Active.end()) {
    Id Old = Existing->second;
    if (!this->isPreferred(C, *this->Connections.at(Old))) {
      this->close(Number, absl::AlreadyExistsError(
                              "another connection to this peer is in use"));
      return;
    }
    this->Active[C.Peer] = Number;
    this->close(Old, absl::AlreadyExistsError(
                         "replaced by another connection to this peer"));
  }
  this->Active[C.Peer] = Number;
}

const Endpoint &TcpPeerTransport::Impl::diallerOf(const Connection &C) const {
  return C.Dialled.empty() ? C.Peer : this->Announced;
}

bool TcpPeerTransport::Impl::isPreferred(const Connection &New,
                                         const Connection &Old) const {
  if (New.PeerProcess != Old.PeerProcess ||
      this->Loop.now() - Old.LastReceived > StaleAfter ||
      this->diallerOf(New) == this->diallerOf(Old))
    return true;
  return this->diallerOf(New) == std::min(this->Announced, New.Peer);
}

void TcpPeerTransport::Impl::close(Id Number, const absl::Status &Reason) {
  auto Found = this->Connections.find(Number);
  if (Found == this->Connections.end())
    return;
  std::shared_ptr<Connection> C = std::move(Found->second);
  this->Connections.erase(Found);
  auto A = this->Active.find(C->Peer);
  if (A != this->Active.end() && A->second == Number)
    this->Active.erase(A);
  // The callback that closes the link may be running inside the link, so the
  // link is destroyed later.
  this->Loop.post([C] {});
  if (this->Output && !C->Peer.empty() && !Reason.ok())
    this->Output->info("peer", "connection closed",
                       {{"peer", C->Peer}, {"reason", Reason}});
  bool WasStable = this->Loop.now() - C->Opened >= StableAfter;
  for (auto &[Peer, D] : this->Dials) {
    bool IsToThisPeer = Peer == C->Dialled || Peer == C->Peer ||
                        (!C->Peer.empty() && D.PeerAddress == C->Peer);
    if (!IsToThisPeer || this->activeFor(Peer))
      continue;
    if (WasStable)
      D.Failures = 0;
    this->retryLater(Peer);
  }
}

void TcpPeerTransport::Impl::tick() {
  absl::Time Now = this->Loop.now();
  // After a pause of this process, the sockets may hold unread data, so no peer
  // counts as silent.
  bool WasPaused = Now - this->LastTick > 3 * TickInterval;
  this->LastTick = Now;
  absl::Duration KeepAliveAfter =
      std::min(MaxKeepAliveAfter, this->IdleTimeout / KeepAlivesPerIdleTimeout);
  std::vector<Id> Silent;
  for (auto &[Number, C] : this->Connections) {
    absl::Duration Limit =
        C->Peer.empty() ? GreetingTimeout : this->IdleTimeout;
    if (WasPaused)
      C->LastReceived = Now;
    else if (Now - C->LastReceived > Limit)
      Silent.push_back(Number);
    bool IsLateAtNextTick = Now - C->LastSent + TickInterval > KeepAliveAfter;
    if (IsLateAtNextTick)
      (void)this->sendOn(*C, std::string());
  }
  for (Id Number : Silent)
    this->close(Number, absl::DeadlineExceededError(
                            "nothing was received from the peer in time"));
  this->Ticker = this->Loop.runAfter(TickInterval, [this] { this->tick(); });
}

} // namespace vanillayard
