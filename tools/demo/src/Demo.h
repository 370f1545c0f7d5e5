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

/// The scripted scenario. Each step prints what it checked.
class Demo {
public:
  explicit Demo(Cluster &Hosts) : Hosts(Hosts) {}

  void run();
  /// Checks that failed.
  int mismatches() const { return this->Mismatches; }

private:
  void priceChecks();
  void sameKeyThroughTwoHosts();
  void gang();
  void cancel();
  void presetChange();
  void rollingRestart();
  void printTable();

  using Answers = std::shared_ptr<std::vector<std::string>>;

  /// Sends a request, again while it is in progress, and adds its answer.
  void sendUntilAnswered(size_t Host, const ShortRequest &Request,
                         const Answers &Got);
  /// Name of the preset in force on a host, or nothing.
  std::string presetOf(size_t Host);
  void step(std::string_view Name) const;
  void check(bool Holds, std::string_view What);
  HttpResponse callHost(size_t Host, HttpRequest Request);
  /// Submits a job. Returns its id, or nothing after a failed check.
  std::string submit(const nlohmann::json &Job, const std::string &Key);
  /// Asks for a job until it is in one of \p States or the limit has passed.
  nlohmann::json awaitJob(const std::string &Id,
                          const std::vector<std::string> &States);
  /// Runs of the task with \p Body on all workers.
  std::vector<nlohmann::json> runsOf(const std::string &Body);

  Cluster &Hosts;
  CallerTable Table;
  std::unique_ptr<SteadyLoad> Load;
  int Mismatches = 0;
};

} // namespace vanillayard

#endif
