#include "base/VirtualExecutor.h"
#include "net/LoopExecutor.h"
#include "peer/TcpPeerTransport.h"
#include "peer/testing/FakePeerNetwork.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace vanillayard;

static constexpr int Hosts = 3;

/// Runs three hosts on one implementation of PeerTransport.
class TransportHarness {
public:
  using Condition = std::function<bool()>;

  virtual ~TransportHarness() = default;
  /// Starts a host, or restarts it at the same address.
  virtual void start(int Host) = 0;
  virtual bool runUntil(const Condition &IsDone) = 0;
  /// Runs events for a short time: 1 s virtual time on the fake, 50 ms on TCP.
  virtual void settle() = 0;

  /// True if each host has exactly one connection to each other host; the fake
  /// does not count connections.
  virtual bool hasOneConnectionEach() { return true; }

  void stop(int Host) { this->Transports[Host].reset(); }
  PeerTransport &operator[](int Host) { return *this->Transports[Host]; }

  std::array<Endpoint, Hosts> Addresses;
  /// Sender and text of each message that a host received, over all its starts.
  std::array<std::vector<std::pair<Endpoint, std::string>>, Hosts> Received;

protected:
  void add(int Host, std::unique_ptr<PeerTransport> Transport) {
    Transport->onReceive([this, Host](const Endpoint &From, std::string Text) {
      this->Received[Host].emplace_back(From, std::move(Text));
    });
    this->Transports[Host] = std::move(Transport);
  }
  std::array<std::unique_ptr<PeerTransport>, Hosts> Transports;
};

class FakeHarness final : public TransportHarness {
public:
  FakeHarness() {
    for (int I = 0; I < Hosts; ++I)
      this->Addresses[I] = Endpoint("host" + std::to_string(I));
  }
  ~FakeHarness() override {
    for (int I = 0; I < Hosts; ++I)
      this->stop(I);
  }
  void start(int Host) override {
    this->stop(Host);
    this->add(Host, this->Network.attach(this->Addresses[Host]));
  }
  bool runUntil(const Condition &IsDone) override {
    for (int I = 0; I < 30000 && !IsDone(); ++I)
      this->Exec.advance(absl::Milliseconds(1));
    return IsDone();
  }
  void settle() override { this->Exec.advance(absl::Seconds(1)); }

private:
  VirtualExecutor Exec;
  FakePeerNetwork Network{this->Exec};
};

class TcpHarness final : public TransportHarness {
public:
  ~TcpHarness() override {
    for (int I = 0; I < Hosts; ++I)
      this->stop(I);
  }
  void start(int Host) override {
    this->stop(Host);
    this->settle();
    Endpoint Address = this->Addresses[Host].empty() ? Endpoint("127.0.0.1:0")
                                                     : this->Addresses[Host];
    auto Transport =
        TcpPeerTransport::Builder(this->Loop).listen(Address).build();
    ASSERT_TRUE(Transport.ok()) << Transport.status();
    this->Addresses[Host] = (*Transport)->address();
    this->Tcp[Host] = Transport->get();
    this->add(Host, std::move(*Transport));
  }
  bool runUntil(const Condition &IsDone) override {
    absl::Time Limit = this->Loop.now() + absl::Seconds(60);
    this->poll(IsDone, Limit);
    this->Loop.run();
    return IsDone();
  }
  void settle() override {
    this->Loop.runAfter(absl::Milliseconds(50), [this] { this->Loop.stop(); });
    this->Loop.run();
  }
  bool hasOneConnectionEach() override {
    return std::all_of(this->Tcp.begin(), this->Tcp.end(), [](auto *T) {
      return T->connectionCount() == Hosts - 1;
    });
  }
  LoopExecutor Loop;

private:
  void poll(const Condition &IsDone, absl::Time Limit) {
    if (IsDone() || this->Loop.now() > Limit) {
      this->Loop.stop();
      return;
    }
    this->Loop.runAfter(absl::Milliseconds(1),
                        [=, this] { this->poll(IsDone, Limit); });
  }
  std::array<TcpPeerTransport *, Hosts> Tcp = {};
};

enum class TransportKind { Fake, Tcp };

class PeerTransportContract : public testing::TestWithParam<TransportKind> {
protected:
  void SetUp() override {
    if (GetParam() == TransportKind::Fake)
      this->Harness = std::make_unique<FakeHarness>();
    else
      this->Harness = std::make_unique<TcpHarness>();
    for (int I = 0; I < Hosts; ++I)
      this->Harness->start(I);
  }
  const Endpoint &at(int Host) { return this->Harness->Addresses[Host]; }
  /// Retries send() until it succeeds, then waits until the text has arrived.
  bool deliver(int From, int To, const std::string &Text) {
    bool Sent = false;
    return this->Harness->runUntil([&] {
      Sent = Sent || (*this->Harness)[From].send(this->at(To), Text).ok();
      return Sent;
    }) && this->Harness->runUntil([&] {
      auto &Got = this->Harness->Received[To];
      return !Got.empty() && Got.back() == std::pair(this->at(From), Text);
    });
  }
  std::unique_ptr<TransportHarness> Harness;
};

// Guards against a send that succeeds, or a message that arrives, before there
// is a connection.
TEST_P(PeerTransportContract, SendFailsWithoutAConnection) {
  TransportHarness &H = *this->Harness;
  EXPECT_EQ(H[0].send(this->at(1), "x").code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(H[0].send(Endpoint("127.0.0.1:1"), "x").code(),
            absl::StatusCode::kUnavailable);
  H.settle();
  EXPECT_TRUE(H.Received[1].empty());
}

// Guards against a connection that works only for the side that dialled, and
// against messages out of order or with the wrong sender.
TEST_P(PeerTransportContract, OneDialServesBothDirectionsInOrder) {
  TransportHarness &H = *this->Harness;
  H[0].connect(this->at(1));
  H[2].connect(this->at(1));
  ASSERT_TRUE(this->deliver(0, 1, "first"));
  ASSERT_TRUE(this->deliver(1, 0, "back"));
  ASSERT_TRUE(this->deliver(2, 1, "third"));
  std::vector<std::pair<Endpoint, std::string>> Expected = H.Received[1];
  for (int I = 0; I < 200; ++I) {
    std::string Text = std::to_string(I) + std::string(size_t(50) * I, 'x');
    ASSERT_TRUE(H[0].send(this->at(1), Text).ok());
    Expected.emplace_back(this->at(0), Text);
  }
  ASSERT_TRUE(
      H.runUntil([&] { return H.Received[1].size() >= Expected.size(); }));
  EXPECT_EQ(H.Received[1], Expected);
  EXPECT_EQ(H.Received[0].size(), 1u);
}

// Guards against two connections that replace each other endlessly when both
// sides dial at the same time.
TEST_P(PeerTransportContract, BothSidesDialAndOneConnectionStays) {
  TransportHarness &H = *this->Harness;
  for (int I = 0; I < Hosts; ++I)
    for (int J = 0; J < Hosts; ++J)
      H[I].connect(this->at(J));
  for (int I = 0; I < Hosts; ++I)
    for (int J = 0; J < Hosts; ++J)
      if (I != J) {
        ASSERT_TRUE(this->deliver(I, J, "hello"));
      }
  H.settle();
  EXPECT_TRUE(H.runUntil([&] { return H.hasOneConnectionEach(); }));
  for (int I = 0; I < Hosts; ++I)
    for (int J = 0; J < Hosts; ++J)
      if (I != J) {
        EXPECT_TRUE(H[I].send(this->at(J), "again").ok());
      }
}

// Guards against a connection that stays down, in either direction, after the
// peer has restarted or because it did not run at the first dial.
TEST_P(PeerTransportContract, ConnectsAgainAfterARestart) {
  TransportHarness &H = *this->Harness;
  H.stop(1);
  H[0].connect(this->at(1));
  H.settle();
  EXPECT_FALSE(H[0].send(this->at(1), "lost").ok());
  for (int Round = 0; Round < 3; ++Round) {
    H.start(1);
    ASSERT_TRUE(this->deliver(0, 1, "one" + std::to_string(Round)));
    ASSERT_TRUE(this->deliver(1, 0, "two" + std::to_string(Round)));
  }
}

// Guards against a connection that stays in use after forget(), or that a later
// connect() does not open again.
TEST_P(PeerTransportContract, ForgetEndsTheConnection) {
  TransportHarness &H = *this->Harness;
  H[0].connect(this->at(1));
  ASSERT_TRUE(this->deliver(0, 1, "one"));
  H[0].forget(this->at(1));
  H.settle();
  EXPECT_FALSE(H[0].send(this->at(1), "two").ok());
  EXPECT_FALSE(H[1].send(this->at(0), "two").ok());
  H[0].connect(this->at(1));
  EXPECT_TRUE(this->deliver(1, 0, "three"));
}

INSTANTIATE_TEST_SUITE_P(Fake, PeerTransportContract,
                         testing::Values(TransportKind::Fake));
INSTANTIATE_TEST_SUITE_P(Tcp, PeerTransportContract,
                         testing::Values(TransportKind::Tcp));
