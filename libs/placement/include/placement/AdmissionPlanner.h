#ifndef VANILLAYARD_PLACEMENT_ADMISSIONPLANNER_H
#define VANILLAYARD_PLACEMENT_ADMISSIONPLANNER_H

#include "base/EnumNames.h"
#include "placement/GuaranteedGangPlanner.h"
#include "placement/PlacementPolicy.h"

#include <span>
#include <vector>

namespace vanillayard {

/// How a gang is admitted in view of its account's guarantee.
enum class AdmissionClass {
  /// Within the guarantee; may reclaim accelerators.
  Guaranteed,
  /// Above the guarantee on any free accelerators; may be reclaimed.
  BorrowedReclaimable,
  /// Above the guarantee, where all guarantees can still be met. Some members
  /// may use the account's own cells.
  BorrowedProtected,
  /// No place now.
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
  /// Checkpointable or repeatable.
  bool Reclaimable = false;
  /// Whether the preset lets jobs use more than their guarantee.
  bool Borrowing = true;
  /// Accelerators by worker that borrowed work must leave; empty for none.
  std::span<const uint8_t> Denied;
};

struct AdmissionDecision {
  AdmissionClass Class = AdmissionClass::Wait;
  /// Places, cells in use and holders to stop first. Only a guaranteed gang
  /// has victims.
  GuaranteedPlan Plan;
};

/// Decides where and in which class a gang is placed.
class AdmissionPlanner {
public:
  AdmissionPlanner(GuaranteeLedger &Ledger, PlacementPolicy &Policy)
      : Ledger(&Ledger), Policy(&Policy), Guaranteed(Ledger) {}

  /// New cells of a guaranteed gang are bound on return; the caller places
  /// the members and calls use(), or unbinds the cells without users.
  void decide(const Occupancy &Held, const AdmissionRequest &Request,
              absl::Time Now, AdmissionDecision &Out);

private:
  bool placeProtected(const Occupancy &Held, const AdmissionRequest &Request,
                      GangPlacement &Out);
  bool placeMixed(const Occupancy &Held, const AdmissionRequest &Request,
                  absl::Time Now, GuaranteedPlan &Out);
  void denyAlso(const AdmissionRequest &Request);

  GuaranteeLedger *Ledger;
  PlacementPolicy *Policy;
  GuaranteedGangPlanner Guaranteed;
  std::vector<uint8_t> Denied;
  std::vector<AssignedCell> Assignment;
  GangPlacement Rest;
};

} // namespace vanillayard

#endif
