#ifndef VANILLAYARD_PEER_SRC_PLANNERELECTION_H
#define VANILLAYARD_PEER_SRC_PLANNERELECTION_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <optional>
#include <vector>

namespace vanillayard {

/// Returns the rendezvous winner among \p Hosts for the role of planner.
std::optional<HostId> plannerAmong(const DataCentreId &DataCentre,
                                   const std::vector<HostId> &Hosts);

/// Decides which host of the own data centre is the planner. A new winner
/// takes the role only after a settling time, so that a short loss of contact
/// does not move it.
class PlannerElection {
public:
  /// When the planner is there, but a new host has a higher hash.
  static constexpr absl::Duration HandoverSettle = absl::Seconds(3);
  /// When the planner is dead. With the 6 s until then, the successor has
  /// 3 s left to renew leases, which last 10 s.
  static constexpr absl::Duration FailoverSettle = absl::Seconds(1);

  explicit PlannerElection(DataCentreId DataCentre)
      : DataCentre(std::move(DataCentre)) {}

  /// \param Usable the hosts that can take the role, this one included.
  /// \param Left the planner if it has announced that it leaves: the role then
  ///        moves at once.
  /// \returns true if the planner changed.
  bool update(const std::vector<HostId> &Usable, bool HasPlannerLeft,
              absl::Time Now);

  /// Gives up what was settled, after a start or a pause of this process.
  void reset();

  const std::optional<HostId> &planner() const { return this->Planner; }

private:
  DataCentreId DataCentre;
  std::optional<HostId> Planner;
  std::optional<HostId> Candidate;
  absl::Time CandidateSince;
  absl::Duration Settle = HandoverSettle;
};

} // namespace vanillayard

#endif
