#include "base/ErrorKind.h"
#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_relay/RelayControl.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace vanillayard;

static constexpr absl::Duration LongWait = absl::Seconds(30);

/// Runs an HTTP server behind a link, and the relay's control server.
class RelayTest : public testing::Test {
protected:
  void SetUp() override {
    this->Target = *HttpServer::Builder(this->Loop)
                        .address(Endpoint("127.0.0.1:0"))
                        .handler([this](const HttpRequest &Request, auto R) {
                          ++this->Served;
                          R->respond({200, {}, Request.Body});
                        })
                        .build();
    this->ControlServer =
        *HttpServer::Builder(this->Loop)
             .address(Endpoint("127.0.0.1:0"))
             .handler([this](const HttpRequest &Request, auto R) {
               this->Control.handle(Request, R);
             })
             .build();
    auto Opened = this->control(
        "/v1/links", "{\"target\":\"" + this->Target->address().str() + "\"}");
    ASSERT_EQ(Opened->Status, 200);
    auto Json = nlohmann::json::parse(Opened->Body, nullptr, false);
    this->Link = Endpoint(Json["listen"].get<std::string>());
  }

  absl::StatusOr<HttpResponse> call(const Endpoint &To, std::string Path,
                                    std::string Body, absl::Duration Timeout) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Path = std::move(Path);
    Request.Body = std::move(Body);
    absl::StatusOr<HttpResponse> Result;
    this->Client.send(To, Request, Timeout, [&](auto Answer) {
      Result = std::move(Answer);
      this->Loop.stop();
    });
    this->Loop.run();
    return Result;
  }
  absl::StatusOr<HttpResponse> control(std::string Path, std::string Body) {
    return this->call(this->ControlServer->address(), std::move(Path),
                      std::move(Body), LongWait);
  }
  absl::StatusOr<HttpResponse> relayed(std::string Body,
                                       absl::Duration Timeout = LongWait) {
    return this->call(this->Link, "/", std::move(Body), Timeout);
  }

  LoopExecutor Loop;
  int Served = 0;
  std::unique_ptr<HttpServer> Target;
  RelayControl Control{this->Loop};
  std::unique_ptr<HttpServer> ControlServer;
  H2oHttpClient Client{this->Loop};
  Endpoint Link;
};

// Guards against a relay that loses data beyond one read buffer.
TEST_F(RelayTest, ForwardsLargeMessagesInBothDirections) {
  std::string Large(900000, 'x');
  auto Answer = this->relayed(Large);
  ASSERT_TRUE(Answer.ok()) << Answer.status();
  EXPECT_EQ(Answer->Body, Large);
}

// Guards against partition tests that pass because the relay does not interrupt
// the link, or that fail because it does not restore it.
TEST_F(RelayTest, CutsFreezesAndRestores) {
  ASSERT_TRUE(this->relayed("a").ok());
  ASSERT_EQ(this->control("/v1/links/0", "{\"cut\":true}")->Status, 200);
  EXPECT_FALSE(this->relayed("b").ok());
  ASSERT_EQ(this->control("/v1/links/0", "{}")->Status, 200);
  EXPECT_TRUE(this->relayed("c").ok());
  ASSERT_EQ(this->control("/v1/links/all", "{\"freeze\":true}")->Status, 200);
  int Before = this->Served;
  auto Frozen = this->relayed("d", absl::Milliseconds(200));
  EXPECT_EQ(errorKindOf(Frozen.status()), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(this->Served, Before);
  ASSERT_EQ(this->control("/v1/links/0", "{}")->Status, 200);
  EXPECT_EQ(this->relayed("e")->Body, "e");
  EXPECT_EQ(this->control("/v1/links/0", "{\"odd\":1}")->Status, 400);
  EXPECT_EQ(this->control("/v1/links/7", "{}")->Status, 404);
}

// Guards against a relay that delays only one direction.
TEST_F(RelayTest, DelaysBothDirections) {
  ASSERT_TRUE(this->relayed("a").ok());
  ASSERT_EQ(this->control("/v1/links/0", "{\"delay_ms\":50}")->Status, 200);
  absl::Time Start = this->Loop.now();
  ASSERT_TRUE(this->relayed("b").ok());
  EXPECT_GE(this->Loop.now() - Start, absl::Milliseconds(100));
}
