#include "PlannerElection.h"

#include "base/Rendezvous.h"

#include <algorithm>

namespace vanillayard {

std::optional<HostId> plannerAmong(const DataCentreId &DataCentre,
                                   const std::vector<HostId> &Hosts) {
  int Winner = rendezvousWinner<HostId>("planner/" + DataCentre.str(), Hosts);
  if (Winner < 0)
    return std::nullopt;
  return Hosts[static_cast<size_t>(Winner)];
}

bool PlannerElection::update(const std::vector<HostId> &Usable,
                             bool HasPlannerLeft, absl::Time Now) {
  std::optional<HostId> Before = this->Planner;
  std::optional<HostId> Winner = plannerAmong(this->DataCentre, Usable);
  if (Winner != this->Candidate) {
    this->Candidate = Winner;
    this->CandidateSince = Now;
  }
  bool IsPlannerThere =
      this->Planner &&
      std::find(Usable.begin(), Usable.end(), *this->Planner) != Usable.end();
  if (this->Planner && !IsPlannerThere) {
    this->Planner.reset();
    this->Settle = HasPlannerLeft ? absl::ZeroDuration() : FailoverSettle;
  }
  if (IsPlannerThere)
    this->Settle = HandoverSettle;
  if (this->Candidate && Now - this->CandidateSince >= this->Settle)
    this->Planner = this->Candidate;
  return this->Planner != Before;
}

void PlannerElection::reset() {
  this->Planner.reset();
  this->Candidate.reset();
  this->Settle = HandoverSettle;
}

} // namespace vanillayard
