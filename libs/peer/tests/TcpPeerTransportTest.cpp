#include "peer/TcpPeerTransport.h"
#include "net/FramedListener.h"
#include "net/LoopExecutor.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace vanillayard;

class TcpPeerTransportTest : public testing::Test {
protected:
  std::unique_ptr<TcpPeerTransport> make(absl::Duration IdleTimeout) {
    return *TcpPeerTransport::Builder(this->Loop)
                .listen(Endpoint("127.0.0.1:0"))
                .idleTimeout(IdleTimeout)
                .build();
  }
  bool runUntil(const std::function<bool()> &IsDone) {
    absl::Time Limit = this->Loop.now() + absl::Seconds(60);
    std::function<void()> Poll = [&] {
      if (IsDone() || this->Loop.now() > Limit)
        this->Loop.stop();
      else
        this->Loop.runAfter(absl::Milliseconds(5), Poll);
    };
    this->Loop.post(Poll);
    this->Loop.run();
    return IsDone();
  }
  LoopExecutor Loop;
};

// Guards against a connection to an unreachable peer that stays open: without
// the idle timeout, TCP reports the failure only after many minutes.
TEST_F(TcpPeerTransportTest, ClosesAConnectionToASilentPeerAndRedials) {
  auto Host = this->make(absl::Seconds(1));
  std::vector<std::unique_ptr<FramedLink>> Accepted;
  // This peer sends its greeting and then nothing, not even a keep-alive.
  auto Peer = listenFramed(this->Loop, Endpoint("127.0.0.1:0"),
                           [&](std::unique_ptr<FramedLink> Link) {
                             Link->setCallbacks([](const std::string &) {},
                                                [](const absl::Status &) {});
                             EXPECT_TRUE(Link->send("VYP1 1 peer:1").ok());
                             Accepted.push_back(std::move(Link));
                           });
  ASSERT_TRUE(Peer.ok());
  Host->connect((*Peer)->address());
  // The peer can also be addressed by the address that it has announced.
  EXPECT_TRUE(
      this->runUntil([&] { return Host->send(Endpoint("peer:1"), "x").ok(); }));
  EXPECT_TRUE(this->runUntil([&] { return Accepted.size() >= 3; }));
}

// Guards against accepting frames from a client that is not a peer.
TEST_F(TcpPeerTransportTest, RefusesAConnectionWithoutAGreeting) {
  auto Host = this->make(absl::Seconds(6));
  int Received = 0;
  Host->onReceive([&](const Endpoint &, const std::string &) { ++Received; });
  std::unique_ptr<FramedLink> Client;
  bool Closed = false;
  connectFramed(this->Loop, Host->address(), [&](auto Link) {
    Client = std::move(*Link);
    Client->setCallbacks([](const std::string &) {},
                         [&](const absl::Status &) { Closed = true; });
    EXPECT_TRUE(Client->send("GET / HTTP/1.1").ok());
    EXPECT_TRUE(Client->send("more").ok());
  });
  EXPECT_TRUE(this->runUntil([&] { return Closed; }));
  EXPECT_EQ(Received, 0);
}

// Guards against closing connections because the process itself was paused for
// less time than the idle timeout.
TEST_F(TcpPeerTransportTest, KeepsAnIdleConnectionOpenAcrossAPause) {
  auto A = this->make(absl::Seconds(3));
  auto B = this->make(absl::Seconds(3));
  A->connect(B->address());
  ASSERT_TRUE(this->runUntil([&] { return A->send(B->address(), "x").ok(); }));
  absl::Time Connected = this->Loop.now();
  this->Loop.runAfter(absl::Milliseconds(1800),
                      [] { absl::SleepFor(absl::Milliseconds(1400)); });
  bool WasDown = false;
  this->runUntil([&] {
    WasDown |= A->connectionCount() != 1;
    return this->Loop.now() > Connected + absl::Seconds(5);
  });
  EXPECT_FALSE(WasDown);
}

// Guards against the idle timeout closing a connection to a peer that is alive:
// received keep-alives must count as activity.
TEST_F(TcpPeerTransportTest, KeepsAnIdleConnectionOpen) {
  auto A = this->make(absl::Seconds(3));
  auto B = this->make(absl::Seconds(3));
  A->connect(B->address());
  ASSERT_TRUE(this->runUntil([&] { return A->send(B->address(), "x").ok(); }));
  absl::Time End = this->Loop.now() + absl::Seconds(5);
  bool WasDown = false;
  this->runUntil([&] {
    WasDown |= A->connectionCount() != 1;
    return this->Loop.now() > End;
  });
  EXPECT_FALSE(WasDown);
}
