#ifndef VANILLAYARD_CONTROL_LEADERTASK_H
#define VANILLAYARD_CONTROL_LEADERTASK_H

#include "base/Executor.h"
#include "control/LeaderOptions.h"
#include "control/LeaderRoleListener.h"
#include "prediction/RunTimeModel.h"
#include "scheduler/EvacuationUse.h"
#include "scheduler/WaitReason.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class CoordinationStore;
class LeaderRole;
class Log;
class Metrics;
class QueueTable;
class WorkerDirectory;
class WorkerGateway;

/// The leader's work while this host holds the role: it loads the job records,
/// takes over the workers, watches for new jobs, sends orders to workers and
/// records runs and jobs that end. The next leader rebuilds all of this state
/// from the store and the workers' reports.
///
/// \code
///   LeaderTask Task(Exec, Store, Gateway, Directory, Options, Events,
///                   MetricRegistry);
///   auto Role = LeaderRole::Builder(...).listener(Task).build();
///   Task.setRole(*Role);
/// \endcode
class LeaderTask final : public LeaderRoleListener {
public:
  LeaderTask(Executor &Exec, CoordinationStore &Store, WorkerGateway &Gateway,
             WorkerDirectory &Directory, const LeaderOptions &Options,
             Log &Events, Metrics &MetricRegistry);
  ~LeaderTask() override;

  /// Sets the role, which limits when orders may be sent. Required before
  /// roleGained(); must outlive the time in which this host is the leader.
  void setRole(LeaderRole &Role);
  void configurationChanged(std::shared_ptr<const QueueTable> Newer);

  void roleGained(int64_t Fence) override;
  void roleReclaimed(int64_t KeyRevision) override;
  void roleLost() override;

  /// Whether this host is the leader and has loaded the records.
  bool isServing() const;
  size_t jobCount() const;
  size_t workerCount() const;
  /// Number of jobs without a schedule that have not started, by queue.
  std::map<std::string, int64_t> waitingJobsByQueue() const;
  /// Number of ready tasks without a run, by reason; reasons with none may be
  /// left out.
  std::map<WaitReason, int64_t> waitingTasksByReason() const;
  EvacuationUse evacuationUse() const;
  std::vector<RunTimeModel::QueueError> runTimeErrors() const;
  size_t slowWorkerCount() const;

  class Term;

private:
  Executor &Exec;
  CoordinationStore &Store;
  WorkerGateway &Gateway;
  WorkerDirectory &Directory;
  LeaderOptions Options;
  Log &Events;
  Metrics &MetricRegistry;
  LeaderRole *Role = nullptr;
  std::shared_ptr<const QueueTable> Configuration;
  /// The current term as leader; null while this host is not the leader.
  std::shared_ptr<Term> Current;
};

} // namespace vanillayard

#endif
