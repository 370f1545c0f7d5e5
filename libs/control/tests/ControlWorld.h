#ifndef VANILLAYARD_CONTROL_TESTS_CONTROLWORLD_H
#define VANILLAYARD_CONTROL_TESTS_CONTROLWORLD_H

#include "FreezableExecutor.h"
#include "FreezableStore.h"
#include "FreezableWorkers.h"
#include "base/VirtualExecutor.h"
#include "control/CallerDesk.h"
#include "control/LeaderRole.h"
#include "control/LeaderTask.h"
#include "control/testing/FakeCoordinationStore.h"
#include "control/testing/FakeWorkerFarm.h"
#include "control/testing/VirtualBootClock.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace vanillayard {

/// Entry hosts over a store and workers in memory, on a virtual clock.
class ControlWorld {
public:
  struct HostNode {
    std::unique_ptr<FreezableExecutor> Exec;
    std::unique_ptr<FreezableStore> Store;
    std::unique_ptr<FreezableWorkers> Workers;
    std::unique_ptr<CallerDesk> Desk;
    std::unique_ptr<LeaderTask> Task;
    std::unique_ptr<LeaderRole> Role;
  };

  ControlWorld();

  void addWorkers(int Count, Resources Capacity = {8000, 64000, 8});
  HostNode &addHost(const std::string &Name);
  /// The process ends at once, without a word to anybody.
  void killHost(const std::string &Name);
  /// The machine is suspended for \p Time and then runs on.
  void freezeHost(const std::string &Name, absl::Duration Time);
  /// All suspended machines run on.
  void thawAll();
  /// The leader, or null.
  HostNode *leader();
  std::string leaderName();

  BatchJob job(int Tasks, int64_t Accelerators) const;
  CallerIdentity caller(const std::string &Id) const;
  /// Submits through \p Host; the answer is in Answers[Id].
  void submit(HostNode &Host, const std::string &Id, BatchJob Job);
  void cancel(HostNode &Host, const std::string &Id);
  /// Asks for the state and waits for the answer.
  absl::StatusOr<BatchState> state(HostNode &Host, const std::string &Id);
  void run(absl::Duration Time) { this->Exec.advance(Time); }

  const BatchStep *stepOf(const TaskKey &Task) const;

  VirtualExecutor Exec;
  Log Events;
  Metrics Figures;
  VirtualBootClock Clock;
  FakeCoordinationStore Store;
  FakeWorkerFarm Farm;
  std::shared_ptr<const QueueTable> Table;
  std::map<std::string, HostNode> Hosts;
  std::map<std::string, BatchJob> Jobs;
  std::map<std::string, absl::Status> Answers;
  std::map<std::string, absl::Status> CancelAnswers;
  std::map<std::string, absl::Time> CancelledAt;
};

} // namespace vanillayard

#endif
