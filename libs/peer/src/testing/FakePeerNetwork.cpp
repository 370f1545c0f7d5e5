#include "peer/testing/FakePeerNetwork.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

class FakePeerNetwork::Transport final : public PeerTransport {
public:
  Transport(FakePeerNetwork &Network, Endpoint Address, Executor &Host)
      : Network(Network), Address(std::move(Address)), Host(Host),
        Process(Network.NextProcess++), AttachedSince(Network.Exec.now()) {
    Network.Attached[this->Address] = this;
  }
  ~Transport() override {
    auto Found = this->Network.Attached.find(this->Address);
    if (Found != this->Network.Attached.end() && Found->second == this)
      this->Network.Attached.erase(Found);
  }

  void connect(const Endpoint &Peer) override {
    if (Peer != this->Address)
      this->WantedSince.emplace(Peer, this->Network.Exec.now());
  }
  void forget(const Endpoint &Peer) override { this->WantedSince.erase(Peer); }
  absl::Status send(const Endpoint &Peer, std::string Message) override {
    return this->Network.send(this->Address, Peer, std::move(Message));
  }
  void onReceive(ReceiveCallback Value) override {
    this->Receive = std::move(Value);
  }

  FakePeerNetwork &Network;
  Endpoint Address;
  Executor &Host;
  uint64_t Process;
  absl::Time AttachedSince;
  std::map<Endpoint, absl::Time> WantedSince;
  ReceiveCallback Receive;
};

FakePeerNetwork::FakePeerNetwork(Executor &Exec, uint64_t Seed)
    : Exec(Exec), Random(Seed) {}

std::unique_ptr<PeerTransport>
FakePeerNetwork::attach(const Endpoint &Address) {
  return this->attach(Address, this->Exec);
}

std::unique_ptr<PeerTransport> FakePeerNetwork::attach(const Endpoint &Address,
                                                       Executor &Host) {
  return std::make_unique<Transport>(*this, Address, Host);
}

void FakePeerNetwork::cut(const Endpoint &From, const Endpoint &To) {
  this->Cuts.emplace(From, To);
}

void FakePeerNetwork::heal(const Endpoint &From, const Endpoint &To) {
  this->Cuts.erase({From, To});
}

void FakePeerNetwork::thaw(const Endpoint &Address) {
  this->Frozen.erase(Address);
  std::vector<Delivery> Released = std::exchange(this->Held, {});
  for (Delivery &Message : Released)
    this->arrive(std::move(Message));
}

bool FakePeerNetwork::isLinked(const Endpoint &From, const Endpoint &To) const {
  auto A = this->Attached.find(From);
  auto B = this->Attached.find(To);
  if (A == this->Attached.end() || B == this->Attached.end())
    return false;
  auto Wanted = [](const Transport &By, const Endpoint &Peer) {
    auto Found = By.WantedSince.find(Peer);
    return Found == By.WantedSince.end() ? absl::InfiniteFuture()
                                         : Found->second;
  };
  absl::Time Dialled =
      std::min(Wanted(*A->second, To), Wanted(*B->second, From));
  absl::Time Start =
      std::max({Dialled, A->second->AttachedSince, B->second->AttachedSince});
  return this->Exec.now() >= Start + 2 * this->Latency;
}

absl::Status FakePeerNetwork::send(const Endpoint &From, const Endpoint &To,
                                   std::string Message) {
  if (!this->isLinked(From, To))
    return absl::UnavailableError("no connection to the peer");
  ++this->Sent;
  std::bernoulli_distribution Loss(this->LossShare);
  if (this->Cuts.count({From, To}) > 0 || Loss(this->Random))
    return absl::OkStatus();
  absl::Time &Last = this->LastArrival[{From, To}];
  Last = std::max(Last, this->Exec.now() + this->Latency);
  uint64_t Receiver = this->Attached.at(To)->Process;
  this->Exec.runAfter(
      Last - this->Exec.now(),
      [this, D = Delivery{From, To, Receiver, std::move(Message)}] {
        this->arrive(D);
      });
  return absl::OkStatus();
}

void FakePeerNetwork::arrive(Delivery Message) {
  if (this->Frozen.count(Message.From) > 0 ||
      this->Frozen.count(Message.To) > 0) {
    this->Held.push_back(std::move(Message));
    return;
  }
  auto Found = this->Attached.find(Message.To);
  if (Found == this->Attached.end())
    return;
  Found->second->Host.post([this, D = std::move(Message)] {
    auto Receiver = this->Attached.find(D.To);
    if (Receiver != this->Attached.end() &&
        Receiver->second->Process == D.Receiver && Receiver->second->Receive)
      Receiver->second->Receive(D.From, D.Message);
  });
}

} // namespace vanillayard
