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

/// Knows the workers of one data centre: from the platform's host list, from
/// its own polls, and from the views of the other entry hosts.
///
/// Each worker is polled by one entry host, its rendezvous owner. The time
/// between two polls grows with the number of workers owned, so that polling
/// stays within a budget of bytes.
class WorkerMonitor {
public:
  /// Bytes of one poll with headers in both directions; most polls find that
  /// nothing changed.
  static constexpr int64_t BytesPerPoll = 500;
  /// Polls without an answer in a row after which a worker is excluded.
  static constexpr int UnreachableAfterPolls = 3;
  /// Answers in a row after which an unreachable worker is used again.
  static constexpr int ReachableAfterPolls = 2;
  /// Lists in a row that do not name a worker after which it is forgotten.
  /// One list is not enough, because a new worker may be missing from it.
  static constexpr int ForgottenAfterLists = 3;

  using OwnsWorker = std::function<bool(const WorkerId &)>;
  using ChangeListener = std::function<void(const WorkerView &)>;
  using RemoveListener = std::function<void(const WorkerId &)>;

  class Builder;
  ~WorkerMonitor();
  WorkerMonitor(const WorkerMonitor &) = delete;
  WorkerMonitor &operator=(const WorkerMonitor &) = delete;

  /// Takes over a host list. A list older than the last one is ignored.
  void applyHostList(const HostList &List);

  /// Takes over a view of another host; ignored for a worker polled here.
  void applyPeerView(const WorkerView &View);

  /// Marks a worker as draining by the operators' order, or takes it back.
  /// \returns false if the worker is not known.
  bool setDraining(const WorkerId &Worker, bool IsDraining);

  /// Views of the workers that this host polls, for the heartbeat.
  std::vector<WorkerView> ownedViews() const;
  /// Views of all known workers of the data centre.
  std::vector<WorkerView> allViews() const;
  /// The last status got by a poll of this host, or null.
  const WorkerStatus *lastStatus(const WorkerId &Worker) const;
  size_t unreachableCount() const;

private:
  struct Worker;

  explicit WorkerMonitor(const Builder &Options);
  void tick();
  void poll(Worker &Target);
  void polled(const WorkerId &Id, absl::StatusOr<WorkerStatus> Status);
  void notePoll(Worker &Target, bool Answered);
  void publish(Worker &Changed);
  void applyListed(const ListedHost &Listed);
  void forgetUnlisted(const HostList &List);
  absl::Duration pollInterval() const;
  size_t ownedCount() const;

  Executor &Exec;
  WorkerClient &Client;
  std::string DataCentre;
  absl::Duration MinInterval;
  int64_t BytesPerSecond;
  OwnsWorker Owns;
  ChangeListener Changed;
  RemoveListener Removed;
  std::map<WorkerId, std::unique_ptr<Worker>> Workers;
  absl::Time LastListGenerated = absl::InfinitePast();
  Executor::TimerId Timer = 0;
  /// Callbacks hold a weak pointer to it and do nothing when it is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// Makes a WorkerMonitor.
class WorkerMonitor::Builder {
public:
  Builder(Executor &Exec, WorkerClient &Client)
      : Exec(&Exec), Client(&Client) {}
  /// Required.
  Builder &dataCentre(DataCentreId Value);
  /// Shortest time between two polls of a worker. Default 500 ms.
  Builder &minInterval(absl::Duration Value);
  /// Budget for polling in bytes per second. Default 2048.
  Builder &bytesPerSecond(int64_t Value);
  /// Says whether this host polls a worker. Default: all.
  Builder &owns(OwnsWorker Value);
  /// Called when a view changes.
  Builder &onChange(ChangeListener Value);
  /// Called when a worker is forgotten.
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
  ChangeListener Changed;
  RemoveListener Removed;
};

} // namespace vanillayard

#endif
