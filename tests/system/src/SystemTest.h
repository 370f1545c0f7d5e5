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

/// A small cluster of real processes and the calls that the system tests
/// share. Every wait is on a condition, with a limit far above the expected
/// time.
class SystemTest : public ::testing::Test {
protected:
  static constexpr absl::Duration Limit = absl::Seconds(40);

  /// Ends the processes while the members of the test still exist.
  void TearDown() override { this->Hosts.reset(); }

  /// Starts the cluster with the sample configuration without guarantees, so
  /// that a gang may fill the fleet.
  void start(Cluster::Builder Options);
  Cluster &cluster() { return *this->Hosts; }
  static std::string sampleConfiguration();

  /// A price check, which is repeatable.
  static HttpRequest priceCheck(const std::string &Body);
  /// A quick proof, which must not run twice.
  static HttpRequest quickProof(const std::string &Body,
                                const std::string &Key);

  /// Status 0 if there was no whole answer.
  HttpResponse send(size_t Host, HttpRequest Request);
  /// Error kind and execution of an answer, "200" for a result, or
  /// "no answer".
  static std::string describe(const HttpResponse &Answer);
  static nlohmann::json parse(const std::string &Text);

  bool waitUntil(const std::function<bool()> &Done,
                 absl::Duration Longest = Limit);
  /// The admin status of a host; an empty object if it does not answer.
  nlohmann::json status(size_t Host);
  int64_t generation(size_t Host);
  /// Waits until exactly one host of dc1 is the planner; returns its index.
  size_t waitForPlanner();

  /// A job without repetition of \p Members whole workers.
  static nlohmann::json gang(int Members, const std::string &Body);
  /// Submits a job until it is accepted; returns its id.
  std::string submit(size_t Host, const nlohmann::json &Job,
                     const std::string &Key);
  /// Asks one host for a job until the job has ended.
  nlohmann::json awaitEnd(size_t Host, const std::string &Id);
  /// Runs of the task with \p Body on all workers.
  std::vector<nlohmann::json> runsOf(const std::string &Body);
  /// Runs of \p Body that have not ended.
  size_t runningOf(const std::string &Body);

  void platformFaults(const std::string &Faults);

private:
  std::unique_ptr<Cluster> Hosts;
};

} // namespace vanillayard

#endif
