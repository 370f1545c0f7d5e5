#ifndef VANILLAYARD_DAEMON_PEERPLANNERCLIENT_H
#define VANILLAYARD_DAEMON_PEERPLANNERCLIENT_H

#include "daemon/JobLookup.h"
#include "jobs/JobNotifier.h"

#include <memory>
#include <vector>

namespace vanillayard {

class Executor;
class Membership;
class PlannerTask;

/// Notifies planners of written job records and queries them for jobs. The
/// planner is on this host or is reached over the peer connections.
class PeerPlannerClient final : public JobNotifier, public JobLookup {
public:
  /// Timeout of a query to one planner.
  static constexpr absl::Duration QueryTimeout = absl::Seconds(2);

  /// Interval and number of retries of a notice, 20 s in total. While the
  /// planner role moves between hosts, no host can take a notice. If the
  /// notice were dropped, the job would wait up to 30 s for the planner to
  /// list the records.
  static constexpr absl::Duration RetryInterval = absl::Milliseconds(250);
  static constexpr int MaxRetries = 80;

  PeerPlannerClient(Executor &Exec, Membership &Peers, PlannerTask &Planner,
                    DataCentreId DataCentre)
      : Exec(Exec), Peers(Peers), Planner(Planner),
        DataCentre(std::move(DataCentre)) {}

  void notify(const JobChange &Change) override;
  void find(const JobId &Id, Callback Done) override;

private:
  struct Query;

  void notifyOrRetry(const JobChange &Change, int RetriesLeft);
  void retryLater(const JobChange &Change, int RetriesLeft);

  std::vector<HostId> remotePlanners() const;
  /// Queries the remaining planners one after another until one knows the job.
  void askNextPlanner(const std::shared_ptr<Query> &State);

  Executor &Exec;
  Membership &Peers;
  PlannerTask &Planner;
  DataCentreId DataCentre;
  /// Callbacks hold a weak pointer to this object and do nothing once it has
  /// expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
