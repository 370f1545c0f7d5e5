#ifndef VANILLAYARD_DEMO_DEMO_H
#define VANILLAYARD_DEMO_DEMO_H

#include "CallerTable.h"
#include "DemoRequests.h"
#include "SteadyLoad.h"
#include "testing/Cluster.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Runs the scripted scenario of the demo. Each step prints its checks and
/// their results.
class Demo {
public:
  explicit Demo(Cluster &DemoCluster) : DemoCluster(DemoCluster) {}

  void run();
  /// Returns the number of failed checks.
  int mismatches() const { return this->Mismatches; }

private:
  void sendPriceChecks();
  void sendSameKeyThroughTwoHosts();
  void runGang();
  void cancelRunningJob();
  void changePreset();
  void restartHostsUnderLoad();
  void printTable();

  using Answers = std::shared_ptr<std::vector<std::string>>;

  /// Sends a request, repeats it while the host answers that it is in progress,
  /// and adds the final answer to \p Received.
  void sendUntilAnswered(size_t Host, const ShortRequest &Request,
                         const Answers &Received);
  /// Returns the name of the preset in force on a host, or an empty text if the
  /// host does not answer.
  std::string presetOf(size_t Host);
  void printHeading(std::string_view Name) const;
  void check(bool Holds, std::string_view What);
  HttpResponse callHost(size_t Host, HttpRequest Request);
  /// Submits a job and checks that it is accepted. Returns its id, or an empty
  /// text if it is not.
  std::string submit(const nlohmann::json &Job, const std::string &Key);
  /// Polls a job until it is in one of \p States or JobLimit has passed.
  /// Returns the last answer.
  nlohmann::json awaitJob(const std::string &Id,
                          const std::vector<std::string> &States);
  /// Returns the runs of the task with \p Body on all workers.
  std::vector<nlohmann::json> runsOf(const std::string &Body);

  Cluster &DemoCluster;
  CallerTable Table;
  std::unique_ptr<SteadyLoad> Load;
  int Mismatches = 0;
};

} // namespace vanillayard

#endif
