#include "SimulatedCluster.h"
#include "base/ErrorKind.h"
#include "control/MeteredGateway.h"
#include "control/MeteredStore.h"

#include <gtest/gtest.h>

#include <cctype>
#include <cstdlib>
#include <set>
#include <sstream>

using namespace vanillayard;
using StoreFault = FakeCoordinationStore::Fault;

static const std::string Id = "5c0e7a21d94b36f8";

namespace {

/// Parses the text exposition format as Prometheus does: HELP and TYPE before
/// the samples of a family, one number per sample, no series twice.
class ExpositionReader {
public:
  explicit ExpositionReader(const std::string &Text) {
    std::istringstream Lines(Text);
    for (std::string Line; std::getline(Lines, Line);)
      this->readLine(Line);
  }

  std::string FirstInvalidLine;
  std::map<std::string, double> Samples;

private:
  void recordInvalidLine(const std::string &Line) {
    if (this->FirstInvalidLine.empty())
      this->FirstInvalidLine = Line;
  }

  void readLine(const std::string &Line) {
    std::istringstream Words(Line);
    std::string Hash, Keyword, Name, Kind;
    if (Line.starts_with("# TYPE ")) {
      Words >> Hash >> Keyword >> Name >> Kind;
      static const std::set<std::string> Kinds = {"counter", "gauge",
                                                  "histogram"};
      if (!Kinds.contains(Kind) || !this->Families.insert(Name).second)
        this->recordInvalidLine(Line);
      return;
    }
    if (Line.starts_with("# HELP "))
      return;
    size_t Space = Line.rfind(' ');
    if (Space == std::string::npos)
      return this->recordInvalidLine(Line);
    std::string Series = Line.substr(0, Space);
    char *End = nullptr;
    std::string Number = Line.substr(Space + 1);
    double Value = std::strtod(Number.c_str(), &End);
    bool IsNumber = !Number.empty() && *End == '\0';
    if (!IsNumber || !this->belongsToFamily(Series) ||
        !this->Samples.emplace(Series, Value).second)
      this->recordInvalidLine(Line);
  }

  bool belongsToFamily(const std::string &Series) const {
    std::string Name = Series.substr(0, Series.find('{'));
    for (const char *Suffix : {"", "_bucket", "_sum", "_count"})
      if (Name.ends_with(Suffix) &&
          this->Families.contains(
              Name.substr(0, Name.size() - std::string(Suffix).size())))
        return true;
    return false;
  }

  std::set<std::string> Families;
};

class MetricsTest : public testing::Test {
protected:
  MetricsTest() {
    this->Cluster.addWorkers(4);
    this->Cluster.addHost("a");
    this->Cluster.runFor(absl::Seconds(1));
  }

  std::map<std::string, double> samples() {
    ExpositionReader Reader(this->Cluster.MetricRegistry.exposition());
    EXPECT_EQ(Reader.FirstInvalidLine, "");
    return Reader.Samples;
  }

  SimulatedCluster Cluster;
};

} // namespace

// Guards against metrics that miss a job's submission, start or end.
TEST_F(MetricsTest, JobIsCountedFromSubmissionToEnd) {
  this->Cluster.submit(this->Cluster.Hosts.at("a"), Id,
                       this->Cluster.job(3, 2));
  this->Cluster.runFor(absl::Seconds(3));
  std::map<std::string, double> Samples = this->samples();
  EXPECT_EQ(Samples["vanillayard_calls_total{account=\"windhoek\",call="
                    "\"submit\",error=\"none\",queue=\"renders\"}"],
            1);
  EXPECT_EQ(Samples["vanillayard_call_seconds_count{call=\"submit\"}"], 1);
  EXPECT_EQ(Samples["vanillayard_start_wait_seconds_count{priority=\"1\"}"], 3);
  EXPECT_EQ(Samples["vanillayard_jobs_ended_total{queue=\"renders\",state="
                    "\"done\"}"],
            1);
  EXPECT_EQ(Samples["vanillayard_role_changes_total{change=\"gained\"}"], 1);
}

// Guards against refusals that no metric counts because the store was not
// called.
TEST_F(MetricsTest, EarlyRefusalsAreCountedByReason) {
  QueueJobService &QueueJobs = *this->Cluster.Hosts.at("a").QueueJobs;
  CallContext Caller = this->Cluster.caller(Id);
  Caller.ApiKey = "nobody's";
  QueueJobs.submit(Caller, this->Cluster.job(1, 1),
                   [](const absl::Status &) {});
  Caller.HostName = "elsewhere.example";
  QueueJobs.cancel(Caller, [](const absl::Status &) {});
  QueueJobs.submit(this->Cluster.caller(Id),
                   makeError(ErrorKind::InvalidRequest, "no steps"),
                   [](const absl::Status &) {});
  std::map<std::string, double> Samples = this->samples();
  auto Count = [&](const std::string &Call, const std::string &Error) {
    return Samples["vanillayard_calls_total{account=\"\",call=\"" + Call +
                   "\",error=\"" + Error + "\",queue=\"\"}"];
  };
  EXPECT_EQ(Count("submit", "unauthenticated"), 1);
  EXPECT_EQ(Count("cancel", "not_found"), 1);
  EXPECT_EQ(Count("submit", "invalid_request"), 1);
}

TEST_F(MetricsTest, StoreCallsAreCountedByOutcome) {
  MeteredStore Store(this->Cluster.Exec, this->Cluster.Store,
                     this->Cluster.MetricRegistry);
  auto Read = [&] {
    Store.get("k", [](absl::StatusOr<std::optional<StoreItem>>) {});
    this->Cluster.runFor(absl::Seconds(2));
  };
  Read();
  this->Cluster.Store.Faults = [](const std::string &) {
    return StoreFault::Refuse;
  };
  Read();
  std::map<std::string, double> Samples = this->samples();
  EXPECT_EQ(Samples["vanillayard_store_calls_total{operation=\"get\",outcome="
                    "\"ok\"}"],
            1);
  EXPECT_EQ(Samples["vanillayard_store_calls_total{operation=\"get\",outcome="
                    "\"platform_unavailable\"}"],
            1);
  EXPECT_EQ(Samples["vanillayard_store_call_seconds_count{operation=\"get\"}"],
            2);
}

TEST_F(MetricsTest, OrdersAreCountedByAnswer) {
  MeteredGateway Gateway(this->Cluster.Exec, this->Cluster.Farm,
                         this->Cluster.MetricRegistry);
  StopOrder Order{WorkerId("w0"), {JobId(Id), 0, 0, 0}, 1};
  Gateway.stop({WorkerId("w0"), Endpoint()}, Order, 1 << 30, absl::Seconds(1),
               [](const OrderReply &) {});
  this->Cluster.runFor(absl::Seconds(2));
  std::map<std::string, double> Samples = this->samples();
  EXPECT_EQ(Samples["vanillayard_worker_orders_total{answer=\"accepted\","
                    "order=\"stop\"}"],
            1);
  EXPECT_EQ(Samples["vanillayard_worker_order_seconds_count{order=\"stop\"}"],
            1);
}
