#include "load/Experiment.h"

#include "base/ErrorKind.h"
#include "config/ConfigurationCodec.h"
#include "load/DeploymentConfiguration.h"
#include "load/LeastSquares.h"
#include "load/PackingOracle.h"
#include "load/Targets.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

using namespace vanillayard;

namespace {

/// One host in this process that answers every request after its run time; if
/// SwapsAnswers is set, with the result of another request.
class FakeTestBed final : public TestBed {
public:
  FakeTestBed(const Deployment &TestDeployment, bool SwapsAnswers)
      : TestDeployment(TestDeployment) {
    auto Built =
        HttpServer::Builder(this->Loop)
            .address(Endpoint("127.0.0.1:0"))
            .handler([this, SwapsAnswers](HttpRequest Request, auto To) {
              this->answer(Request, To, SwapsAnswers);
            })
            .build();
    this->Server = *std::move(Built);
    this->Address = this->Server->address();
    this->Thread = std::thread([this] { this->Loop.run(); });
  }
  ~FakeTestBed() override {
    this->Loop.post([this] { this->Loop.stop(); });
    this->Thread.join();
  }

  const Deployment &deployment() const override { return this->TestDeployment; }
  std::vector<Endpoint> entryHosts() const override { return {this->Address}; }
  absl::Status restartHost(size_t) override { return absl::OkStatus(); }
  absl::Status failWorker(bool) override { return absl::OkStatus(); }
  absl::StatusOr<int> tasksFailed() override { return 0; }
  absl::StatusOr<std::vector<WorkerOccupancy>> occupancy() override {
    return std::vector<WorkerOccupancy>();
  }

private:
  void answer(const HttpRequest &Request,
              std::shared_ptr<HttpResponder> Responder, bool SwapsAnswers) {
    TaskBody Task = TaskBody::parse(Request.Body, {});
    HttpResponse Response;
    Response.Headers.add("Vanillayard-Request-Id", "r");
    Response.Body = Task.result("r", SwapsAnswers ? "{}" : Request.Body);
    this->Loop.runAfter(
        Task.RunTime, [Responder, Response] { Responder->respond(Response); });
  }

  Deployment TestDeployment;
  LoopExecutor Loop;
  std::unique_ptr<HttpServer> Server;
  Endpoint Address;
  std::thread Thread;
};

class FakeTestBedFactory final : public TestBedFactory {
public:
  absl::StatusOr<std::unique_ptr<TestBed>>
  start(const Deployment &TestDeployment, PolicyChoice Policy) override {
    this->Started.push_back(Policy);
    return std::make_unique<FakeTestBed>(TestDeployment, this->SwapsAnswers);
  }

  bool SwapsAnswers = false;
  std::vector<PolicyChoice> Started;
};

} // namespace

static absl::StatusOr<ExperimentResult>
runSmallCallers(FakeTestBedFactory &Factory) {
  ExperimentOptions Options;
  Options.TestDeployment = *Deployment::named("small");
  Options.Budget = absl::Seconds(3);
  Options.Progress = [](const std::string &) {};
  for (const auto &Each : Experiment::all())
    if (Each->name() == "small-callers")
      return Each->run(Factory, Options);
  return absl::NotFoundError("small-callers");
}

TEST(ExperimentTest, RunsBothPoliciesAndReportsEachTarget) {
  FakeTestBedFactory Factory;
  absl::StatusOr<ExperimentResult> Result = runSmallCallers(Factory);
  ASSERT_TRUE(Result.ok()) << Result.status();
  EXPECT_EQ(Factory.Started,
            (std::vector{PolicyChoice::Baseline, PolicyChoice::Chosen}));
  EXPECT_EQ(Result->Measures.size(), 9U);
  for (const char *Policy : {"baseline", "chosen"})
    for (const char *Phase : {"alone", "beside"})
      EXPECT_GT(Result->Details[Policy][Phase]["classes"]["small"]["ok"], 0);
  nlohmann::json Json = Result->json();
  EXPECT_EQ(Json["measures"].size(), 9U);
}

// Guards against an experiment that reports its targets as met although callers
// got the results of other requests.
TEST(ExperimentTest, AnswersToOtherRequestsMissTheTarget) {
  FakeTestBedFactory Factory;
  Factory.SwapsAnswers = true;
  absl::StatusOr<ExperimentResult> Result = runSmallCallers(Factory);
  ASSERT_TRUE(Result.ok()) << Result.status();
  EXPECT_FALSE(Result->isMet());
  EXPECT_NE(Result->table().find("MISSED"), std::string::npos);
}

TEST(MeasureTest, BoundsApplyToTheChosenValueOrTheRatio) {
  Measure M{"m", "s", 4, 2, Target{Target::Bound::AtMost, 2, false}};
  EXPECT_TRUE(M.isMet());
  M.Required = Target{Target::Bound::Below, 2, false};
  EXPECT_FALSE(M.isMet());
  M.Required = Target{Target::Bound::AtLeast, 0.6, true};
  EXPECT_FALSE(M.isMet());
  M.Required = Target{Target::Bound::Below, 1, true};
  EXPECT_TRUE(M.isMet());
  M.Chosen = std::numeric_limits<double>::quiet_NaN();
  EXPECT_FALSE(M.isMet());
}

TEST(DeploymentTest, SizesMatchTheDesign) {
  auto Kalahari = Deployment::named("kalahari");
  ASSERT_TRUE(Kalahari.ok());
  EXPECT_EQ(Kalahari->DataCentres.size(), 4U);
  EXPECT_EQ(Kalahari->hosts(), 9);
  EXPECT_EQ(Kalahari->workers(), 50);
  auto Swanbag = Deployment::named("swanbag");
  ASSERT_TRUE(Swanbag.ok());
  EXPECT_EQ(Swanbag->DataCentres.size(), 3U);
  EXPECT_EQ(Swanbag->hosts(), 8);
  EXPECT_EQ(Swanbag->workers(), 50);
  EXPECT_FALSE(Deployment::named("other").ok());
  for (const Deployment &TestDeployment : {*Kalahari, *Swanbag}) {
    absl::Status Valid = ConfigurationCodec::validate(
        DeploymentConfiguration::make(TestDeployment, /*ExtraAccounts=*/20));
    EXPECT_TRUE(Valid.ok()) << Valid;
  }
}

// Guards against an oracle that reports a larger startable gang than perfect
// packing allows, which would hide fragmentation.
RC_GTEST_PROP(PackingOracleTest, NoLayoutBeatsPerfectPacking, ()) {
  constexpr int PerRack = 3;
  auto Busy = *rc::gen::container<std::vector<int>>(9, rc::gen::inRange(0, 9));
  std::vector<WorkerOccupancy> Workers;
  Workers.reserve(Busy.size());
  for (size_t I = 0; I < Busy.size(); ++I)
    Workers.push_back({DataCentreId("dc1"),
                       RackId(std::string(1, static_cast<char>('a' + I / 3))),
                       Busy[I]});
  int LargestNow =
      PackingOracle::largestStartableGang(Workers, DataCentreId("dc1"));
  int Packed =
      PackingOracle::largestGangIfPacked(Workers, DataCentreId("dc1"), PerRack);
  RC_ASSERT(LargestNow <= Packed);
  RC_ASSERT(Packed <= PerRack);
  RC_ASSERT(PackingOracle::largestStartableGang(Workers, DataCentreId("x")) ==
            0);
}

TEST(PackingOracleTest, ScatteredWorkCountsAsFragmentation) {
  std::vector<WorkerOccupancy> Scattered;
  Scattered.reserve(4);
  for (int I = 0; I < 4; ++I)
    Scattered.push_back({DataCentreId("dc1"), RackId("r"), 2});
  EXPECT_EQ(PackingOracle::largestStartableGang(Scattered, DataCentreId("dc1")),
            0);
  EXPECT_EQ(
      PackingOracle::largestGangIfPacked(Scattered, DataCentreId("dc1"), 4), 3);
}

RC_GTEST_PROP(LeastSquaresTest, RecoversALine, ()) {
  auto Slope = *rc::gen::inRange(-50, 50);
  auto Intercept = *rc::gen::inRange(-50, 50);
  std::vector<LeastSquares::Point> Points;
  Points.reserve(4);
  for (int X : {1, 4, 9, 16})
    Points.push_back(
        {static_cast<double>(X), static_cast<double>(Slope * X + Intercept)});
  auto Line = LeastSquares::fit(Points);
  RC_ASSERT(Line.ok());
  constexpr double Rounding = 1e-9;
  RC_ASSERT(std::abs(Line->Slope - Slope) < Rounding);
  RC_ASSERT(std::abs(Line->Intercept - Intercept) < Rounding);
  RC_ASSERT(Line->Residual < Rounding);
}

TEST(LeastSquaresTest, NeedsThreePointsOfDifferentSize) {
  EXPECT_FALSE(LeastSquares::fit({{1, 1}, {2, 2}}).ok());
  EXPECT_FALSE(LeastSquares::fit({{1, 1}, {1, 2}, {1, 3}}).ok());
  auto Bent = LeastSquares::fit({{0, 0}, {1, 3}, {2, 0}});
  ASSERT_TRUE(Bent.ok());
  EXPECT_NEAR(Bent->Residual, std::sqrt(2), 1e-9);
}
