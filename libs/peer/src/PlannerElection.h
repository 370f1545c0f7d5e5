#ifndef VANILLAYARD_PEER_SRC_PLANNERELECTION_H
#define VANILLAYARD_PEER_SRC_PLANNERELECTION_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <optional>
#include <vector>

namespace vanillayard {

/// Returns the host among \p Hosts that rendezvous hashing selects as planner;
/// none if \p Hosts is empty.
std::optional<HostId> plannerAmong(const DataCentreId &DataCentre,
                                   const std::vector<HostId> &Hosts);

/// Decides which host of the own data centre is the planner. A new winner of
/// the rendezvous hashing becomes planner only after a settling time, so that a
/// short loss of contact does not move the role.
class PlannerElection {
public:
  /// Applies while the planner is usable, but another host has a higher hash.
  static constexpr absl::Duration HandoverSettlingTime = absl::Seconds(3);
  /// Applies after the planner has died, which is detected after 6 s. Of the
  /// 10 s that leases last, the successor has 3 s left to renew them.
  static constexpr absl::Duration FailoverSettlingTime = absl::Seconds(1);

  explicit PlannerElection(DataCentreId DataCentre)
      : DataCentre(std::move(DataCentre)) {}

  /// Recomputes the planner.
  /// \param Usable the hosts that can take the role, including this host
  ///        unless it leaves.
  /// \param HasPlannerLeft true if the planner has announced that it leaves;
  ///        the role then moves without a settling time.
  /// \returns true if the planner changed.
  bool update(const std::vector<HostId> &Usable, bool HasPlannerLeft,
              absl::Time Now);

  /// Clears the planner and the candidate after a pause of this process.
  void reset();

  const std::optional<HostId> &planner() const { return this->Planner; }

private:
  DataCentreId DataCentre;
  std::optional<HostId> Planner;
  std::optional<HostId> Candidate;
  absl::Time CandidateSince;
  absl::Duration SettlingTime = HandoverSettlingTime;
};

} // namespace vanillayard

#endif
