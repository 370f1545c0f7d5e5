#ifndef VANILLAYARD_PLACEMENT_OCCUPANCY_H
#define VANILLAYARD_PLACEMENT_OCCUPANCY_H

#include "placement/GangShape.h"
#include "placement/Topology.h"

#include "absl/time/time.h"

#include <array>
#include <span>
#include <vector>

namespace vanillayard {

/// A job, or a lease of unknown purpose, that holds accelerators.
struct Holder {
  /// False if the index is free for a new holder.
  bool InUse = false;
  /// Index of the client account; -1 if unknown.
  int Account = -1;
  /// True if the work may be stopped when an account needs the accelerators
  /// that are guaranteed to it.
  bool Reclaimable = false;
  absl::Time Started;
  /// Accelerator-seconds that are lost if the work is stopped now.
  double LostWork = 0;
  GangPlacement Places;
};

/// Records which holder has which accelerator, in flat arrays by worker index.
class Occupancy {
public:
  explicit Occupancy(const Topology &Topo);

  const Topology &topology() const { return *this->Topo; }

  /// Adds a holder without places and returns its index. Reuses the indexes of
  /// removed holders.
  int addHolder(int Account, bool Reclaimable, absl::Time Started);
  /// Frees the accelerators, slots and index of the holder.
  void removeHolder(int Index);
  const Holder &holder(int Index) const {
    return this->Holders[static_cast<size_t>(Index)];
  }
  int holderCount() const { return static_cast<int>(this->Holders.size()); }
  void setLostWork(int Index, double AcceleratorSeconds) {
    this->Holders[static_cast<size_t>(Index)].LostWork = AcceleratorSeconds;
  }

  /// Assigns accelerators and one slot to a holder.
  /// \returns false, without effect, if one of the accelerators is held.
  bool place(int Holder, const MemberPlace &Place);

  /// Reserves accelerators for a job that waits until their holders are
  /// removed; the accelerators are not free until unreserve().
  void reserve(const MemberPlace &Place);
  void unreserve(const MemberPlace &Place);

  /// A worker that is not available has no free accelerators.
  void setAvailable(int Worker, bool Available);
  bool isAvailable(int Worker) const {
    return this->Workers[static_cast<size_t>(Worker)].Usable != 0;
  }

  /// Accelerators that a new member may use.
  uint8_t freeMask(int Worker) const {
    const State &S = this->Workers[static_cast<size_t>(Worker)];
    return static_cast<uint8_t>(S.Usable & ~S.Held & ~S.Reserved);
  }
  /// Accelerators that are reserved or held by work that cannot be reclaimed.
  uint8_t unreclaimableMask(int Worker) const {
    const State &S = this->Workers[static_cast<size_t>(Worker)];
    return static_cast<uint8_t>(S.Unreclaimable | S.Reserved);
  }
  uint8_t usableMask(int Worker) const {
    return this->Workers[static_cast<size_t>(Worker)].Usable;
  }
  uint8_t heldMask(int Worker) const {
    return this->Workers[static_cast<size_t>(Worker)].Held;
  }
  int freeSlots(int Worker) const {
    return this->Workers[static_cast<size_t>(Worker)].FreeSlots;
  }
  /// \returns -1 if the accelerator is free.
  int holderAt(int Worker, int Accelerator) const {
    return this->Workers[static_cast<size_t>(Worker)]
        .HolderAt[static_cast<size_t>(Accelerator)];
  }

private:
  struct State {
    uint8_t Usable = 0;
    uint8_t Held = 0;
    uint8_t Unreclaimable = 0;
    uint8_t Reserved = 0;
    int FreeSlots = 0;
    std::array<int, 8> HolderAt{-1, -1, -1, -1, -1, -1, -1, -1};
  };

  const Topology *Topo;
  std::vector<State> Workers;
  std::vector<Holder> Holders;
  std::vector<int> FreeHolderIndexes;
};

} // namespace vanillayard

#endif
