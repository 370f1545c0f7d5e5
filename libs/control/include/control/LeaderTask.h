#ifndef VANILLAYARD_CONTROL_LEADERTASK_H
#define VANILLAYARD_CONTROL_LEADERTASK_H

#include "base/Executor.h"
#include "control/LeaderRoleListener.h"
#include "control/LeaderTerms.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace vanillayard {

class CoordinationStore;
class LeaderRole;
class Log;
class Metrics;
class QueueTable;
class WorkerDirectory;
class WorkerGateway;

/// What the leader does while this host holds the role: it loads the records
/// of jobs, takes over the workers, follows new jobs, gives orders and records
/// what has ended. All of its state is rebuilt from the store and the workers
/// by the next leader.
///
/// \code
///   LeaderTask Task(Exec, Store, Gateway, Directory, Terms, Events, Figures);
///   auto Role = LeaderRole::Builder(...).listener(Task).build();
///   Task.attach(*Role);
/// \endcode
class LeaderTask final : public LeaderRoleListener {
public:
  LeaderTask(Executor &Exec, CoordinationStore &Store, WorkerGateway &Gateway,
             WorkerDirectory &Directory, const LeaderTerms &Terms, Log &Events,
             Metrics &Figures);
  ~LeaderTask() override;

  /// Sets the role whose validity bounds the orders. Must outlive the task's
  /// work.
  void attach(LeaderRole &Role);
  void configurationChanged(std::shared_ptr<const QueueTable> Newer);

  void roleGained(int64_t Fence) override;
  void roleLost() override;

  /// The records are loaded and orders may be given.
  bool isServing() const;
  size_t jobCount() const;
  size_t workerCount() const;
  /// Jobs without a schedule that have not started, by queue.
  std::map<std::string, int64_t> waitingByQueue() const;

  class Term;

private:
  Executor &Exec;
  CoordinationStore &Store;
  WorkerGateway &Gateway;
  WorkerDirectory &Directory;
  LeaderTerms Terms;
  Log &Events;
  Metrics &Figures;
  LeaderRole *Role = nullptr;
  std::shared_ptr<const QueueTable> Configuration;
  /// One term of office; null while the role is not held.
  std::shared_ptr<Term> Current;
};

} // namespace vanillayard

#endif
