#ifndef VANILLAYARD_PLACEMENT_RESERVATIONBACKFILL_H
#define VANILLAYARD_PLACEMENT_RESERVATIONBACKFILL_H

#include "placement/BackfillPolicy.h"

#include <vector>

namespace vanillayard {

/// Reserves workers for the first gang that waits: work behind it starts
/// there only if it is reclaimable or is expected to end before the
/// reservation. A gang that has waited for the bound keeps its workers, and
/// they accept no new work whatever run times are declared.
class ReservationBackfill final : public BackfillPolicy {
public:
  explicit ReservationBackfill(absl::Duration MaxGangWait)
      : MaxGangWait(MaxGangWait) {}

  void setMaxGangWait(absl::Duration Value) { this->MaxGangWait = Value; }

  void beginPass(const Occupancy &Held, absl::Time Now) override;
  std::span<const uint8_t> denied(const WaitingGang &Gang) override;
  bool onBlocked(const Occupancy &Held, const WaitingGang &Gang,
                 std::span<const absl::Time> Ends) override;
  std::span<const int> keptFor(const WaitingGang &Gang) const override;

private:
  struct Reservation {
    uint64_t Gang = 0;
    bool Kept = false;
    /// Whether the gang was met in this pass.
    bool Seen = false;
    absl::Time QueuedSince;
    absl::Time Start;
    std::vector<int> Workers;
  };

  struct Candidate {
    absl::Time Ready;
    int Worker = -1;
    int Capacity = 0;

    friend bool operator<(const Candidate &A, const Candidate &B) {
      return A.Ready != B.Ready ? A.Ready < B.Ready : A.Worker < B.Worker;
    }
  };

  Reservation *find(uint64_t Gang);
  const Reservation *find(uint64_t Gang) const;
  bool reserve(const Occupancy &Held, const WaitingGang &Gang,
               std::span<const absl::Time> Ends, Reservation &Out);
  bool tryArea(const Occupancy &Held, const WaitingGang &Gang, int First,
               int End, std::span<const absl::Time> Ends, Reservation &Best);
  absl::Time readyTime(const Occupancy &Held, int Worker,
                       std::span<const absl::Time> Ends) const;
  bool isKeptForOlder(int Worker, const WaitingGang &Gang) const;

  absl::Duration MaxGangWait;
  absl::Time Now;
  size_t WorkerCount = 0;
  std::vector<Reservation> Reservations;
  std::vector<uint8_t> Denied;
  std::vector<Candidate> Candidates;
};

} // namespace vanillayard

#endif
