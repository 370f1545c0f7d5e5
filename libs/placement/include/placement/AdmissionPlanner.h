#ifndef VANILLAYARD_PLACEMENT_ADMISSIONPLANNER_H
#define VANILLAYARD_PLACEMENT_ADMISSIONPLANNER_H

#include "base/EnumNames.h"
#include "placement/GuaranteedGangPlanner.h"
#include "placement/PlacementPolicy.h"

#include <span>
#include <vector>

namespace vanillayard {

/// How a gang is admitted with regard to the guarantee of its client account.
enum class AdmissionClass {
  /// Within the guarantee; may reclaim accelerators.
  Guaranteed,
  /// Above the guarantee, on any free accelerators; the work may be stopped
  /// when an account needs the accelerators that are guaranteed to it.
  BorrowedReclaimable,
  /// Above the guarantee and not reclaimable: placed only where all guarantees
  /// can still be met. Some members may use the account's own guaranteed cells.
  BorrowedProtected,
  /// The gang does not fit now and stays in the queue.
  Wait,
};

inline constexpr EnumNames<AdmissionClass, 4> AdmissionClassNames(
    {{{AdmissionClass::Guaranteed, "guaranteed"},
      {AdmissionClass::BorrowedReclaimable, "borrowed_reclaimable"},
      {AdmissionClass::BorrowedProtected, "borrowed_protected"},
      {AdmissionClass::Wait, "wait"}}});

struct AdmissionRequest {
  /// Index of the client account.
  int Account = -1;
  GangShape Shape;
  /// Whether the work is checkpointable or repeatable.
  bool Reclaimable = false;
  /// Whether the preset lets jobs use more than their account's guarantee.
  bool Borrowing = true;
  /// Accelerators by worker index that work above the guarantee must not use;
  /// empty for none.
  std::span<const uint8_t> Denied;
};

struct AdmissionDecision {
  AdmissionClass Class = AdmissionClass::Wait;
  /// Places of the members, guaranteed cells that they use and holders to stop
  /// first. Only a plan of class Guaranteed has victims.
  GuaranteedPlan Plan;
};

/// Decides in which class a gang is admitted and where it is placed.
class AdmissionPlanner {
public:
  AdmissionPlanner(GuaranteeLedger &Ledger, PlacementPolicy &Policy)
      : Ledger(&Ledger), Policy(&Policy), GuaranteedPlanner(Ledger) {}

  /// Decides on \p Request and writes the decision to \p Out. On return, the
  /// new cells of the plan are bound in the ledger. The caller either places
  /// the members and calls useCell() for each cell, or unbinds the cells
  /// without users.
  void decide(const Occupancy &Occ, const AdmissionRequest &Request,
              absl::Time Now, AdmissionDecision &Out);

private:
  bool placeProtected(const Occupancy &Occ, const AdmissionRequest &Request,
                      GangPlacement &Out);
  bool placeMixed(const Occupancy &Occ, const AdmissionRequest &Request,
                  absl::Time Now, GuaranteedPlan &Out);
  void mergeDenied(const AdmissionRequest &Request);

  GuaranteeLedger *Ledger;
  PlacementPolicy *Policy;
  GuaranteedGangPlanner GuaranteedPlanner;
  std::vector<uint8_t> Denied;
  std::vector<AssignedCell> Assignment;
  GangPlacement MembersOutsideGuarantee;
};

} // namespace vanillayard

#endif
