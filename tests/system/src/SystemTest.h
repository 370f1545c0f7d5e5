#ifndef VANILLAYARD_TESTS_SYSTEM_SYSTEMTEST_H
#define VANILLAYARD_TESTS_SYSTEM_SYSTEMTEST_H

#include "testing/Cluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Fixture with a small cluster of real processes and the calls that the
/// system tests share. Every wait polls a condition and gives up only after a
/// limit far above the expected time.
class SystemTest : public ::testing::Test {
protected:
  static constexpr absl::Duration Limit = absl::Seconds(40);

  /// Ends the processes while the members of the test still exist.
  void TearDown() override { this->TestCluster.reset(); }

  /// Starts the cluster with sampleConfiguration() and waits until every host
  /// has polled all its workers.
  void startCluster(Cluster::Builder Options);
  Cluster &cluster() { return *this->TestCluster; }
  /// The sample configuration without guarantees, so that one gang may occupy
  /// all workers.
  static std::string sampleConfiguration();

  /// A repeatable request of kind price-check.
  static HttpRequest priceCheck(const std::string &Body);
  /// A non-repeatable request of kind quick-proof with idempotency key \p Key.
  static HttpRequest quickProof(const std::string &Body,
                                const std::string &Key);

  /// Sends a request and waits. The answer has status 0 and the error as its
  /// body if no complete answer arrives.
  HttpResponse send(size_t Host, HttpRequest Request);
  /// Status, error kind and execution of an answer, such as
  /// "503 platform_unavailable not_run"; "200" for a result; or "no answer".
  static std::string describe(const HttpResponse &Answer);
  /// Parses a JSON object; an empty object if \p Text is anything else.
  static nlohmann::json parseObject(const std::string &Text);

  /// Polls \p Done until it holds. Returns false after \p Longest.
  bool waitUntil(const std::function<bool()> &Done,
                 absl::Duration Longest = Limit);
  /// The admin status of a host; an empty object if it does not answer.
  nlohmann::json adminStatus(size_t Host);
  /// Generation of the configuration on a host; 0 if it does not answer.
  int64_t configurationGeneration(size_t Host);
  /// Waits until exactly one host of dc1 is the planner; returns its index.
  size_t waitForPlanner();

  /// A non-repeatable gang job whose \p Members each occupy a whole worker.
  static nlohmann::json gangJob(int Members, const std::string &Body);
  /// Submits a job until it is accepted; returns its id.
  std::string submit(size_t Host, const nlohmann::json &Job,
                     const std::string &Key);
  /// Polls one host until the job is in a final state; returns the job.
  nlohmann::json waitForJobEnd(size_t Host, const std::string &Id);
  /// Execution records of the tasks with \p Body, from all workers.
  std::vector<nlohmann::json> runsWithBody(const std::string &Body);
  /// Number of runs of \p Body that have not ended.
  size_t countRunning(const std::string &Body);

  /// Posts \p Faults to the stand-in platform.
  void setPlatformFaults(const std::string &Faults);

private:
  std::unique_ptr<Cluster> TestCluster;
};

} // namespace vanillayard

#endif
