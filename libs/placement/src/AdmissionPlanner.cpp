#include "placement/AdmissionPlanner.h"

namespace vanillayard {

void AdmissionPlanner::denyAlso(const AdmissionRequest &Request) {
  for (size_t I = 0; I < Request.Denied.size(); ++I)
    this->Denied[I] |= Request.Denied[I];
}

bool AdmissionPlanner::placeProtected(const Occupancy &Held,
                                      const AdmissionRequest &Request,
                                      GangPlacement &Out) {
  auto Bound = this->Ledger->boundMasks();
  this->Denied.assign(Bound.begin(), Bound.end());
  this->denyAlso(Request);
  if (!this->Policy->choose(Held, Request.Shape, this->Denied, Out))
    return false;
  if (this->Ledger->deficit(Held, Out) == 0)
    return true;
  // The best places break a guarantee; try what is left when the unused cells
  // have been set aside.
  if (this->Ledger->deficit(Held) != 0)
    return false;
  this->Ledger->assign(Held, this->Assignment);
  for (const AssignedCell &Cell : this->Assignment)
    for (const MemberPlace &P : Cell.Area)
      this->Denied[static_cast<size_t>(P.Worker)] |= P.Mask;
  return this->Policy->choose(Held, Request.Shape, this->Denied, Out) &&
         this->Ledger->deficit(Held, Out) == 0;
}

// A gang that is larger than what is left of its account's guarantee uses the
// account's own cells first; otherwise they would keep the gang out for ever.
bool AdmissionPlanner::placeMixed(const Occupancy &Held,
                                  const AdmissionRequest &Request,
                                  absl::Time Now, GuaranteedPlan &Out) {
  if (Request.Shape.Spread != Adjacency::DataCentre ||
      !this->Guaranteed.planPart(Held, Request.Account, Request.Shape, Now,
                                 Out))
    return false;
  AdmissionRequest Others = Request;
  Others.Shape.Members -= static_cast<int>(Out.Members.size());
  if (this->placeProtected(Held, Others, this->Rest)) {
    Out.Members.insert(Out.Members.end(), this->Rest.begin(), this->Rest.end());
    return true;
  }
  for (int Cell : Out.Cells)
    if (this->Ledger->cells()[static_cast<size_t>(Cell)].Users == 0)
      this->Ledger->unbind(Cell);
  Out.Cells.clear();
  return false;
}

void AdmissionPlanner::decide(const Occupancy &Held,
                              const AdmissionRequest &Request, absl::Time Now,
                              AdmissionDecision &Out) {
  Out.Class = AdmissionClass::Wait;
  GuaranteedPlanResult Result = this->Guaranteed.plan(
      Held, Request.Account, Request.Shape, Now, Out.Plan);
  if (Result == GuaranteedPlanResult::Planned) {
    Out.Class = AdmissionClass::Guaranteed;
    return;
  }
  if (!Request.Borrowing)
    return;
  if (!Request.Reclaimable) {
    if (this->placeProtected(Held, Request, Out.Plan.Members) ||
        this->placeMixed(Held, Request, Now, Out.Plan))
      Out.Class = AdmissionClass::BorrowedProtected;
  } else if (this->Policy->choose(Held, Request.Shape, Request.Denied,
                                  Out.Plan.Members)) {
    Out.Class = AdmissionClass::BorrowedReclaimable;
  }
  if (Out.Class == AdmissionClass::Wait)
    Out.Plan.Members.clear();
}

} // namespace vanillayard
