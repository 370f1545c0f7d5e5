#include "placement/AdmissionPlanner.h"

namespace vanillayard {

void AdmissionPlanner::mergeDenied(const AdmissionRequest &Request) {
  for (size_t I = 0; I < Request.Denied.size(); ++I)
    this->Denied[I] |= Request.Denied[I];
}

bool AdmissionPlanner::placeProtected(const Occupancy &Occ,
                                      const AdmissionRequest &Request,
                                      GangPlacement &Out) {
  auto Bound = this->Ledger->boundMasks();
  this->Denied.assign(Bound.begin(), Bound.end());
  this->mergeDenied(Request);
  if (!this->Policy->choose(Occ, Request.Shape, this->Denied, Out))
    return false;
  if (this->Ledger->deficit(Occ, Out) == 0)
    return true;
  // The best places would break a guarantee. Assign accelerators to all unused
  // cells and try again without these accelerators.
  if (this->Ledger->deficit(Occ) != 0)
    return false;
  this->Ledger->assign(Occ, this->Assignment);
  for (const AssignedCell &Cell : this->Assignment)
    for (const MemberPlace &P : Cell.Area)
      this->Denied[static_cast<size_t>(P.Worker)] |= P.Mask;
  return this->Policy->choose(Occ, Request.Shape, this->Denied, Out) &&
         this->Ledger->deficit(Occ, Out) == 0;
}

// Places a gang that is larger than what is left of its account's guarantee:
// first on the account's own guaranteed cells, then on other accelerators. The
// ledger keeps accelerators available for unused cells; without the first step,
// the gang could not use them and might never start.
bool AdmissionPlanner::placeMixed(const Occupancy &Occ,
                                  const AdmissionRequest &Request,
                                  absl::Time Now, GuaranteedPlan &Out) {
  if (Request.Shape.RequiredAdjacency != Adjacency::DataCentre ||
      !this->GuaranteedPlanner.planPartialGang(Occ, Request.Account,
                                               Request.Shape, Now, Out))
    return false;
  AdmissionRequest Others = Request;
  Others.Shape.Members -= static_cast<int>(Out.Members.size());
  if (this->placeProtected(Occ, Others, this->MembersOutsideGuarantee)) {
    Out.Members.insert(Out.Members.end(), this->MembersOutsideGuarantee.begin(),
                       this->MembersOutsideGuarantee.end());
    return true;
  }
  for (int Cell : Out.Cells)
    if (this->Ledger->cells()[static_cast<size_t>(Cell)].Users == 0)
      this->Ledger->unbindCell(Cell);
  Out.Cells.clear();
  return false;
}

void AdmissionPlanner::decide(const Occupancy &Occ,
                              const AdmissionRequest &Request, absl::Time Now,
                              AdmissionDecision &Out) {
  Out.Class = AdmissionClass::Wait;
  GuaranteedPlanResult Result = this->GuaranteedPlanner.plan(
      Occ, Request.Account, Request.Shape, Now, Out.Plan);
  if (Result == GuaranteedPlanResult::Planned) {
    Out.Class = AdmissionClass::Guaranteed;
    return;
  }
  if (!Request.Borrowing)
    return;
  if (!Request.Reclaimable) {
    if (this->placeProtected(Occ, Request, Out.Plan.Members) ||
        this->placeMixed(Occ, Request, Now, Out.Plan))
      Out.Class = AdmissionClass::BorrowedProtected;
  } else if (this->Policy->choose(Occ, Request.Shape, Request.Denied,
                                  Out.Plan.Members)) {
    Out.Class = AdmissionClass::BorrowedReclaimable;
  }
  if (Out.Class == AdmissionClass::Wait)
    Out.Plan.Members.clear();
}

} // namespace vanillayard
