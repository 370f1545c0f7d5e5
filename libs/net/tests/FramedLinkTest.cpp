#include "net/FramedListener.h"
#include "net/LoopExecutor.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against messages that arrive split, merged or not at all.
TEST(FramedLinkTest, EchoesFramesWhole) {
  LoopExecutor Loop;
  std::unique_ptr<FramedLink> ServerSide;
  auto Listener = listenFramed(
      Loop, Endpoint("127.0.0.1:0"), [&](std::unique_ptr<FramedLink> Link) {
        ServerSide = std::move(Link);
        ServerSide->setCallbacks(
            [&](std::string Message) {
              ASSERT_TRUE(ServerSide->send(Message).ok());
            },
            [](absl::Status) {});
      });
  ASSERT_TRUE(Listener.ok());
  std::string Large(1 << 20, 'x');
  std::vector<std::string> Received;
  std::unique_ptr<FramedLink> Client;
  connectFramed(Loop, (*Listener)->address(), [&](auto Link) {
    ASSERT_TRUE(Link.ok());
    Client = std::move(*Link);
    Client->setCallbacks(
        [&](std::string Message) {
          Received.push_back(std::move(Message));
          if (Received.size() == 3)
            Loop.stop();
        },
        [](absl::Status) {});
    ASSERT_TRUE(Client->send("a").ok());
    ASSERT_TRUE(Client->send("").ok());
    ASSERT_TRUE(Client->send(Large).ok());
  });
  Loop.run();
  EXPECT_EQ(Received, (std::vector<std::string>{"a", "", Large}));
}

// Guards against a connect call that never reports a refused connection.
TEST(FramedLinkTest, ReportsARefusedConnection) {
  LoopExecutor Loop;
  absl::Status Status;
  connectFramed(Loop, Endpoint("127.0.0.1:1"), [&](auto Link) {
    Status = Link.status();
    Loop.stop();
  });
  Loop.run();
  EXPECT_EQ(Status.code(), absl::StatusCode::kUnavailable);
}

// Guards against a use after free when a message callback destroys its link
// and another message has already arrived.
TEST(FramedLinkTest, LinkMayBeDestroyedInItsCallback) {
  LoopExecutor Loop;
  std::unique_ptr<FramedLink> ServerSide;
  auto Listener = listenFramed(
      Loop, Endpoint("127.0.0.1:0"), [&](std::unique_ptr<FramedLink> Link) {
        ServerSide = std::move(Link);
        ServerSide->setCallbacks([&](std::string) { ServerSide.reset(); },
                                 [](absl::Status) {});
      });
  ASSERT_TRUE(Listener.ok());
  std::unique_ptr<FramedLink> Client;
  connectFramed(Loop, (*Listener)->address(), [&](auto Link) {
    Client = std::move(*Link);
    Client->setCallbacks([](std::string) {},
                         [&](absl::Status) { Loop.stop(); });
    ASSERT_TRUE(Client->send("one").ok());
    ASSERT_TRUE(Client->send("two").ok());
  });
  Loop.run();
  EXPECT_EQ(ServerSide, nullptr);
}
