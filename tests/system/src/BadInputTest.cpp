#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillayard {

using nlohmann::json;

namespace {

/// A TCP connection on which a test sends bytes that no HTTP client sends.
class RawConnection {
public:
  explicit RawConnection(const Endpoint &To) {
    const std::string &Text = To.str();
    size_t Colon = Text.rfind(':');
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<uint16_t>(
        std::strtol(Text.c_str() + Colon + 1, nullptr, 10)));
    inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
    this->Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    this->Open =
        ::connect(this->Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address)) == 0;
  }
  ~RawConnection() { ::close(this->Socket); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool isOpen() const { return this->Open; }
  void send(const std::string &Bytes) {
    (void)!::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads the bytes that have arrived. isOpen() is false once the peer has
  /// closed the connection.
  void read() {
    pollfd Ready = {this->Socket, POLLIN, 0};
    while (this->Open && ::poll(&Ready, 1, 0) > 0) {
      char Buffer[4096];
      ssize_t Count = ::recv(this->Socket, Buffer, sizeof(Buffer), 0);
      if (Count > 0)
        this->Received.append(Buffer, static_cast<size_t>(Count));
      else
        this->Open = false;
    }
  }
  const std::string &received() const { return this->Received; }

private:
  int Socket = -1;
  bool Open = false;
  std::string Received;
};

class BadInputTest : public SystemTest {
protected:
  void SetUp() override {
    this->startCluster(Cluster::Builder().workersPerDataCentre(2).settings(
        [](Settings::Builder &Text) {
          Text.requestTimeout(absl::Seconds(2));
        }));
  }
  /// Checks that both hosts still answer valid requests with 200.
  void checkValidRequestsSucceed() {
    std::string Body = TaskBody::make(absl::Milliseconds(5), "good request");
    for (size_t Host : {0, 1}) {
      HttpResponse Answer = this->send(Host, priceCheck(Body));
      EXPECT_EQ(Answer.Status, 200) << Answer.Body;
    }
  }
  /// Checks the problem details of an answer and that valid requests still
  /// succeed.
  void expectProblem(const HttpResponse &Answer, int Status,
                     const std::string &Kind) {
    EXPECT_EQ(Answer.Status, Status) << Answer.Body;
    EXPECT_EQ(Answer.Headers.get("Content-Type"), "application/problem+json");
    json Problem = parseObject(Answer.Body);
    EXPECT_EQ(Problem.value("kind", ""), Kind) << Answer.Body;
    EXPECT_EQ(Problem.value("execution", ""), "not_run") << Answer.Body;
    EXPECT_EQ(Problem.value("status", 0), Status) << Answer.Body;
    EXPECT_FALSE(Problem.value("detail", "").empty()) << Answer.Body;
    this->checkValidRequestsSucceed();
  }
  HttpResponse sendJob(const std::string &Body) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Path = "/v1/jobs";
    Request.Body = Body;
    return this->send(0, Request);
  }
  /// Sends \p Bytes and nothing more; expects an answer with \p Status.
  void expectRawStatus(const std::string &Bytes, const std::string &Status) {
    RawConnection Raw(this->cluster().host(0).Caller);
    ASSERT_TRUE(Raw.isOpen());
    Raw.send(Bytes);
    this->waitUntil(
        [&] {
          Raw.read();
          return !Raw.isOpen() ||
                 Raw.received().find("\r\n\r\n") != std::string::npos;
        },
        absl::Seconds(20));
    EXPECT_EQ(Raw.received().substr(0, 12), "HTTP/1.1 " + Status)
        << Raw.received();
    this->checkValidRequestsSucceed();
  }
};

} // namespace

// Guards against an invalid request that a host accepts, rejects without a
// reason, or lets disturb the requests of other callers.
TEST_F(BadInputTest, ParsedRequestsGetProblemDetails) {
  ASSERT_FALSE(this->HasFatalFailure());
  HttpRequest Valid = priceCheck("{}");
  HttpRequest Changed;
  for (const char *Header : {"Vanillayard-Account", "Vanillayard-Kind"}) {
    SCOPED_TRACE(Header);
    Changed = Valid;
    Changed.Headers = HttpHeaders();
    for (const auto &[Name, Value] : Valid.Headers.fields())
      Changed.Headers.add(Name, Name == Header ? "nobody" : Value);
    bool IsAccount = Header == std::string("Vanillayard-Account");
    this->expectProblem(this->send(0, Changed), IsAccount ? 403 : 400,
                        IsAccount ? "unknown_account" : "unknown_kind");
  }
  for (const char *Path : {"/", "/v1/abcd", "/v1/jobsx", "/v2/jobs"}) {
    SCOPED_TRACE(Path);
    HttpRequest Job;
    Job.Method = "POST";
    Job.Path = Path;
    Job.Body = gangJob(1, "{}").dump();
    this->expectProblem(this->send(0, Job), 404, "not_found");
  }
  {
    SCOPED_TRACE("very deeply nested JSON");
    this->expectProblem(this->sendJob(std::string(200000, '[')), 400,
                        "invalid_request");
  }
  {
    SCOPED_TRACE("malformed JSON");
    this->expectProblem(this->sendJob("{\"account\": "), 400,
                        "invalid_request");
  }
  {
    SCOPED_TRACE("job of an unknown account");
    json Job = gangJob(1, "{}");
    Job["account"] = "nobody";
    this->expectProblem(this->sendJob(Job.dump()), 403, "unknown_account");
  }
  {
    SCOPED_TRACE("job of an unknown kind");
    json Job = gangJob(1, "{}");
    Job["kind"] = "nothing";
    this->expectProblem(this->sendJob(Job.dump()), 400, "unknown_kind");
  }
}

// Guards against a host that reads an oversized body without bound or runs it.
TEST_F(BadInputTest, OversizedBodyIsRefused) {
  ASSERT_FALSE(this->HasFatalFailure());
  std::string Body((1 << 20) + 1, 'x');
  HttpResponse Answer = this->send(0, priceCheck(Body));
  EXPECT_EQ(Answer.Status, 413) << Answer.Body;
  EXPECT_TRUE(this->runsWithBody(Body).empty());
  this->checkValidRequestsSucceed();
}

// Request line and first header; the tests append further headers.
static constexpr char RequestStart[] =
    "POST /v1/requests HTTP/1.1\r\nHost: a\r\n";

// Guards against a host that reads a whole oversized body before it rejects
// it, although Content-Length already exceeds the limit.
TEST_F(BadInputTest, DeclaredOversizedBodyIsRefusedAtOnce) {
  ASSERT_FALSE(this->HasFatalFailure());
  this->expectRawStatus(
      fmt::format("{}Content-Length: {}\r\n\r\n", RequestStart, 2 << 20),
      "413");
}

// Guards against a host that buffers headers without bound.
TEST_F(BadInputTest, TooManyHeadersAreRefused) {
  ASSERT_FALSE(this->HasFatalFailure());
  std::string Many = RequestStart;
  for (int I = 0; I < 2000; ++I)
    Many += fmt::format("X-Filler-{}: {}\r\n", I, std::string(64, 'x'));
  this->expectRawStatus(Many + "\r\n", "431");
}

// Guards against a sender that stops in the middle of a request and so holds
// its connection for ever, and against a host that closes it without a 408.
TEST_F(BadInputTest, SlowSendersGetRequestTimeout) {
  ASSERT_FALSE(this->HasFatalFailure());
  {
    SCOPED_TRACE("headers never end");
    this->expectRawStatus(RequestStart, "408");
  }
  {
    SCOPED_TRACE("body never ends");
    this->expectRawStatus(
        fmt::format("{}Content-Length: 100\r\n\r\nshort", RequestStart), "408");
  }
}

// Guards against a job that is too large for every data centre and therefore
// waits for ever and blocks the jobs behind it.
TEST_F(BadInputTest, GangThatNeverFitsIsReported) {
  ASSERT_FALSE(this->HasFatalFailure());
  HttpResponse Answer = this->sendJob(gangJob(64, "too large").dump());
  json Job = parseObject(Answer.Body);
  if (Answer.Status == 202) {
    Job = this->waitForJobEnd(1, Job.value("id", ""));
    EXPECT_EQ(Job.value("state", ""), "never_fits") << Job;
    EXPECT_EQ(Job.value("execution", ""), "not_run") << Job;
  } else {
    this->expectProblem(Answer, 422, "never_fits");
  }
  std::string Body = TaskBody::make(absl::Milliseconds(50), "fits");
  Job = this->waitForJobEnd(0, this->submit(0, gangJob(2, Body), "fits"));
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
}

} // namespace vanillayard
