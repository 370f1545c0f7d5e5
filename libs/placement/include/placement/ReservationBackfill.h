#ifndef VANILLAYARD_PLACEMENT_RESERVATIONBACKFILL_H
#define VANILLAYARD_PLACEMENT_RESERVATIONBACKFILL_H

#include "placement/BackfillPolicy.h"

#include <vector>

namespace vanillayard {

/// Reserves workers for the first blocked gang. Gangs behind it start on these
/// workers only if they are reclaimable or are expected to end before the
/// reservation starts. A gang that has waited for MaxGangWait keeps its workers
/// in the following passes; they accept no other new work, whatever run times
/// are declared.
class ReservationBackfill final : public BackfillPolicy {
public:
  explicit ReservationBackfill(absl::Duration MaxGangWait)
      : MaxGangWait(MaxGangWait) {}

  void setMaxGangWait(absl::Duration Value) { this->MaxGangWait = Value; }

  void beginPass(const Occupancy &Occ, absl::Time Now) override;
  std::span<const uint8_t> deniedMasks(const WaitingGang &Gang) override;
  bool onBlocked(const Occupancy &Occ, const WaitingGang &Gang,
                 std::span<const absl::Time> Ends) override;
  std::span<const int> workersKeptFor(const WaitingGang &Gang) const override;

private:
  struct Reservation {
    uint64_t Gang = 0;
    /// Whether the gang has waited for MaxGangWait, so that the reservation
    /// stays for the following passes and the workers accept no other work.
    bool Kept = false;
    /// Whether the gang was blocked in this pass.
    bool SeenInPass = false;
    absl::Time QueuedSince;
    /// Expected time at which all workers are free.
    absl::Time Start;
    std::vector<int> Workers;
  };

  struct Candidate {
    /// Expected time at which the worker is free.
    absl::Time Ready;
    int Worker = -1;
    /// Number of members that fit on the idle worker.
    int Capacity = 0;

    friend bool operator<(const Candidate &A, const Candidate &B) {
      return A.Ready != B.Ready ? A.Ready < B.Ready : A.Worker < B.Worker;
    }
  };

  Reservation *findReservation(uint64_t Gang);
  const Reservation *findReservation(uint64_t Gang) const;
  bool reserveWorkers(const Occupancy &Occ, const WaitingGang &Gang,
                      std::span<const absl::Time> Ends, Reservation &Out);
  bool tryReserveInArea(const Occupancy &Occ, const WaitingGang &Gang,
                        int First, int End, std::span<const absl::Time> Ends,
                        Reservation &Best);
  absl::Time readyTime(const Occupancy &Occ, int Worker,
                       std::span<const absl::Time> Ends) const;
  bool isKeptForOlderGang(int Worker, const WaitingGang &Gang) const;

  absl::Duration MaxGangWait;
  absl::Time Now;
  size_t WorkerCount = 0;
  std::vector<Reservation> Reservations;
  std::vector<uint8_t> Denied;
  std::vector<Candidate> Candidates;
};

} // namespace vanillayard

#endif
