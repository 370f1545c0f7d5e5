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
  bool IsPlannerUsable =
      this->Planner &&
      std::find(Usable.begin(), Usable.end(), *this->Planner) != Usable.end();
  if (this->Planner && !IsPlannerUsable) {
    this->Planner.reset();
    this->SettlingTime =
        HasPlannerLeft ? absl::ZeroDuration() : FailoverSettlingTime;
  }
  if (IsPlannerUsable)
    this->SettlingTime = HandoverSettlingTime;
  if (this->Candidate && Now - this->CandidateSince >= this->SettlingTime)
    this->Planner = this->Candidate;
  return this->Planner != Before;
}

void PlannerElection::reset() {
  this->Planner.reset();
  this->Candidate.reset();
  this->SettlingTime = HandoverSettlingTime;
}

} // namespace vanillayard
