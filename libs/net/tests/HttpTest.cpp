#include "base/ErrorKind.h"
#include "net/FramedLink.h"
#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

class HttpTest : public ::testing::Test {
protected:
  void serve(HttpHandler Handler) {
    auto Built = HttpServer::Builder(this->Loop)
                     .address(Endpoint("127.0.0.1:0"))
                     .maxBodyBytes(1000)
                     .handler(std::move(Handler))
                     .build();
    ASSERT_TRUE(Built.ok()) << Built.status();
    this->Server = std::move(*Built);
    this->Client = std::make_unique<H2oHttpClient>(this->Loop);
  }

  absl::StatusOr<HttpResponse> call(HttpRequest Request,
                                    absl::Duration Timeout = absl::Seconds(5)) {
    absl::StatusOr<HttpResponse> Result = absl::UnknownError("no callback");
    this->Client->send(this->Server->address(), std::move(Request), Timeout,
                       [&](absl::StatusOr<HttpResponse> Response) {
                         Result = std::move(Response);
                         this->Loop.stop();
                       });
    this->Loop.run();
    return Result;
  }

  LoopExecutor Loop;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<H2oHttpClient> Client;
};

} // namespace

// Guards against a request that is sent after its caller has given it up: a
// process that was paused while it connected would give an order on a
// permission that has run out.
TEST_F(HttpTest, ConnectionAfterTheTimeoutSendsNothing) {
  int Requests = 0;
  this->serve([&Requests](HttpRequest, auto Responder) {
    ++Requests;
    Responder->respond({});
  });
  absl::Status Result = absl::OkStatus();
  this->Loop.post([&] {
    // Runs before the connection is reported, in the same iteration of the
    // loop, so that the timeout has passed but its timer has not run.
    this->Loop.post([] { absl::SleepFor(absl::Milliseconds(300)); });
    this->Client->send(this->Server->address(), {}, absl::Milliseconds(100),
                       [&](absl::StatusOr<HttpResponse> Response) {
                         Result = Response.status();
                       });
  });
  this->Loop.runAfter(absl::Seconds(1), [this] { this->Loop.stop(); });
  this->Loop.run();
  EXPECT_EQ(errorKindOf(Result), ErrorKind::NoCapacity) << Result;
  EXPECT_EQ(Requests, 0);
}

// Guards against a part of a request or response that is lost or changed, also
// when the client reuses a connection.
TEST_F(HttpTest, CarriesMethodPathQueryHeadersAndBody) {
  this->serve([](HttpRequest Request, auto Responder) {
    HttpResponse Response;
    Response.Status = 202;
    Response.Headers.add("X-Seen", std::string(Request.Headers.get("X-Sent")));
    Response.Body = Request.Method + " " + Request.Path + " " +
                    Request.queryValue("b") + " " + Request.Body;
    Responder->respond(Response);
  });
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/x";
  Request.Query = "a=1&b=2";
  Request.Headers.add("X-Sent", "yes");
  Request.Body = "payload";
  for (int I = 0; I < 3; ++I) {
    auto Response = this->call(Request);
    ASSERT_TRUE(Response.ok()) << Response.status();
    EXPECT_EQ(Response->Status, 202);
    EXPECT_EQ(Response->Headers.get("x-seen"), "yes");
    EXPECT_EQ(Response->Body, "POST /v1/x 2 payload");
  }
}

// Guards against reporting "not run" for a request that timed out after it was
// sent, and against a server that misses that the client has disconnected.
TEST_F(HttpTest, TimeoutAfterSendingMayHaveRun) {
  std::shared_ptr<HttpResponder> Kept;
  bool SawClose = false;
  this->serve([&](HttpRequest, auto Responder) {
    Responder->onClose([&] { SawClose = true; });
    Kept = Responder;
  });
  auto Response = this->call({}, absl::Milliseconds(50));
  EXPECT_EQ(errorKindOf(Response.status()), ErrorKind::OutcomeUnknown);
  this->Loop.runAfter(absl::Seconds(1), [&] { this->Loop.stop(); });
  this->Loop.run();
  EXPECT_TRUE(SawClose);
  Kept->respond({200, {}, "late"});
}

// Guards against reporting an unknown outcome for a request that was never
// sent.
TEST_F(HttpTest, RefusedConnectionDidNotRun) {
  this->serve([](HttpRequest, auto) {});
  this->Server->stopAccepting();
  absl::Status Status;
  this->Client->send(Endpoint("127.0.0.1:1"), {}, absl::Seconds(5),
                     [&](auto Response) {
                       Status = Response.status();
                       this->Loop.stop();
                     });
  this->Loop.run();
  EXPECT_EQ(errorKindOf(Status), ErrorKind::NoCapacity);
}

// Guards against passing a body over the limit to the handler.
TEST_F(HttpTest, OversizedBodyIsRefused) {
  bool WasCalled = false;
  this->serve([&](HttpRequest, auto) { WasCalled = true; });
  HttpRequest Request;
  Request.Method = "POST";
  Request.Body.assign(2000, 'x');
  auto Response = this->call(Request);
  EXPECT_FALSE(WasCalled);
  if (Response.ok()) {
    EXPECT_EQ(Response->Status, 413);
  }
}

// Guards against reporting a truncated response as a complete one.
TEST_F(HttpTest, AbortedResponseIsTruncated) {
  this->serve([](HttpRequest, auto Responder) {
    Responder->beginStream({200, {}, ""});
    Responder->write("first half");
    Responder->end(/*Abort=*/true);
  });
  auto Response = this->call({});
  EXPECT_FALSE(Response.ok());
  EXPECT_FALSE(isProvablyNotRun(Response.status()));
}

// Guards against chunks that are held back until the response ends.
TEST_F(HttpTest, StreamsChunksUntilTheEnd) {
  std::shared_ptr<HttpResponder> Stream;
  this->serve([&](HttpRequest, auto Responder) {
    Stream = Responder;
    Responder->beginStream({200, {}, ""});
    Responder->write("one\n");
  });
  std::string Received;
  this->Client->stream(
      this->Server->address(), {},
      [&](std::string_view Chunk) {
        Received += Chunk;
        if (Received == "one\n")
          Stream->write("two\n");
        else
          Stream->end();
      },
      [&](absl::Status Status) {
        EXPECT_TRUE(Status.ok()) << Status;
        this->Loop.stop();
      });
  this->Loop.run();
  EXPECT_EQ(Received, "one\ntwo\n");
}
