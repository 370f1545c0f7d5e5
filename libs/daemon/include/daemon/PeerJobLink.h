#ifndef VANILLAYARD_DAEMON_PEERJOBLINK_H
#define VANILLAYARD_DAEMON_PEERJOBLINK_H

#include "daemon/JobLookup.h"
#include "jobs/JobNotifier.h"

#include <memory>
#include <vector>

namespace vanillayard {

class Executor;
class Membership;
class PlannerTask;

/// Tells planners of changed job records and asks them for jobs, on this host
/// or over the peer links.
class PeerJobLink final : public JobNotifier, public JobLookup {
public:
  /// Time that a planner has to answer a query.
  static constexpr absl::Duration QueryTimeout = absl::Seconds(2);

  /// While the planner's role moves, nobody can be told. A job whose notice
  /// was dropped then waited for the next listing, up to 30 s.
  static constexpr absl::Duration RetryInterval = absl::Milliseconds(250);
  static constexpr int MaxRetries = 80;

  PeerJobLink(Executor &Exec, Membership &Peers, PlannerTask &Planner,
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
  void ask(const std::shared_ptr<Query> &State);

  Executor &Exec;
  Membership &Peers;
  PlannerTask &Planner;
  DataCentreId DataCentre;
  /// Timers hold a weak pointer to it and do nothing when it is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
