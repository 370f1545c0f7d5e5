#ifndef VANILLAYARD_DAEMON_WORKERMONITOR_H
#define VANILLAYARD_DAEMON_WORKERMONITOR_H

#include "base/Executor.h"
#include "wire/WorkerView.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace vanillayard {

class WorkerClient;
struct HostList;
struct ListedHost;
struct WorkerStatus;

/// Tracks the state of the workers of one data centre. The state comes from the
/// platform's host list, from polls by this host, and from the worker views
/// that other entry hosts send.
///
/// One entry host, chosen by rendezvous hashing, owns a worker and polls it.
/// The poll interval grows with the number of owned workers, so that polling
/// stays within a budget of bytes per second.
class WorkerMonitor {
public:
  /// Size of one poll in bytes: request and response with headers. Most
  /// responses report no change.
  static constexpr int64_t BytesPerPoll = 500;
  /// Consecutive polls without an answer after which a worker is unreachable
  /// (WorkerView::Ejected).
  static constexpr int UnreachableAfterPolls = 3;
  /// Consecutive answered polls after which an unreachable worker is used
  /// again.
  static constexpr int ReachableAfterPolls = 2;
  /// Consecutive host lists without a worker after which it is removed. More
  /// than one, because the list lags and may not contain a new worker yet.
  static constexpr int RemovedAfterLists = 3;

  using OwnsWorker = std::function<bool(const WorkerId &)>;
  using ChangeListener = std::function<void(const WorkerView &)>;
  using RemoveListener = std::function<void(const WorkerId &)>;

  class Builder;
  ~WorkerMonitor();
  WorkerMonitor(const WorkerMonitor &) = delete;
  WorkerMonitor &operator=(const WorkerMonitor &) = delete;

  /// Applies a host list. Ignored if it is older than the last one applied.
  void applyHostList(const HostList &List);

  /// Applies a view sent by another host. Ignored if the view is withdrawn or
  /// if this host owns the worker.
  void applyPeerView(const WorkerView &View);

  /// Marks a worker as draining at an operator's request, or clears the mark.
  /// \returns false if the worker is not known.
  bool setDraining(const WorkerId &Worker, bool IsDraining);

  /// Views of the workers that this host owns and whose slots are known, for
  /// the load in the heartbeat and for warnings.
  std::vector<WorkerView> ownedViews() const;
  /// Views of all known workers of the data centre.
  std::vector<WorkerView> allViews() const;
  /// Status from this host's last answered poll of the worker, or null.
  const WorkerStatus *lastStatus(const WorkerId &Worker) const;
  size_t unreachableCount() const;

private:
  struct Worker;

  explicit WorkerMonitor(const Builder &Options);
  /// Polls the owned workers that are due and restarts the timer.
  void pollDueWorkers();
  void poll(Worker &Target);
  void onPollReply(const WorkerId &Id, absl::StatusOr<WorkerStatus> Status);
  void recordPoll(Worker &Target, bool Answered);
  /// Recomputes the draining state, increments the version and reports the view
  /// to the change listener.
  void updateView(Worker &Target);
  void applyListed(const ListedHost &Listed);
  void removeUnlisted(const HostList &List);
  absl::Duration pollInterval() const;
  size_t ownedCount() const;

  Executor &Exec;
  WorkerClient &Client;
  std::string DataCentre;
  absl::Duration MinInterval;
  int64_t BytesPerSecond;
  OwnsWorker Owns;
  ChangeListener OnChange;
  RemoveListener OnRemove;
  std::map<WorkerId, std::unique_ptr<Worker>> Workers;
  absl::Time LastListGenerated = absl::InfinitePast();
  Executor::TimerId Timer = 0;
  /// Poll callbacks hold a weak pointer to this object and do nothing once it
  /// has expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

class WorkerMonitor::Builder {
public:
  Builder(Executor &Exec, WorkerClient &Client)
      : Exec(&Exec), Client(&Client) {}
  /// Required.
  Builder &dataCentre(DataCentreId Value);
  /// Minimum time between two polls of a worker. Default 500 ms.
  Builder &minInterval(absl::Duration Value);
  /// Budget for all polls of this host in bytes per second. Default 2048.
  Builder &bytesPerSecond(int64_t Value);
  /// Predicate: whether this host owns a worker. Default: all workers.
  Builder &owns(OwnsWorker Value);
  /// Called after every update of a worker's view, once its slots are known.
  Builder &onChange(ChangeListener Value);
  /// Called before a worker is removed.
  Builder &onRemove(RemoveListener Value);
  /// Error: InvalidArgument without a data centre.
  absl::StatusOr<std::unique_ptr<WorkerMonitor>> build() const;

private:
  friend class WorkerMonitor;
  Executor *Exec;
  WorkerClient *Client;
  DataCentreId DataCentre;
  absl::Duration MinInterval = absl::Milliseconds(500);
  int64_t BytesPerSecond = 2048;
  OwnsWorker Owns;
  ChangeListener OnChange;
  RemoveListener OnRemove;
};

} // namespace vanillayard

#endif
