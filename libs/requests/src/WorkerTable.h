#ifndef VANILLAYARD_REQUESTS_WORKERTABLE_H
#define VANILLAYARD_REQUESTS_WORKERTABLE_H

#include "policy/ConcurrencyLimiter.h"
#include "policy/WorkerHealth.h"
#include "policy/WorkerSelector.h"
#include "requests/WorkerCapacity.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace vanillayard {

/// The workers of this data centre and this host's requests in flight on them.
/// The index of a worker is not reused while requests are in flight on it.
class WorkerTable {
public:
  /// A slot on a worker that is reserved for one attempt.
  struct Reservation {
    size_t Worker = 0;
    /// Serial number of the worker's view at the time of the reservation.
    uint64_t ViewSerial = 0;
    bool Urgent = false;
  };

  WorkerTable(std::unique_ptr<WorkerSelector> Selector,
              std::unique_ptr<WorkerHealth> Health, ConcurrencyControl Control);

  void update(const WorkerCapacity &View, absl::Time Now);
  void remove(const WorkerId &Id);

  /// Reserves a slot on a worker that is not in \p Avoid; nothing if there is
  /// none.
  std::optional<Reservation> reserve(std::span<const size_t> Avoid,
                                     bool Urgent);
  /// Releases a reserved slot.
  /// \param FreeSlots free slots that the worker reported with its answer; -1
  /// if
  ///        it reported none.
  void release(const Reservation &Slot, int FreeSlots, absl::Time Now);

  void onSuccess(size_t Worker, absl::Time Now);
  void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                 absl::Time Now);
  /// Records that the worker refused a request because it has no free slot.
  void onRefused(size_t Worker, absl::Time Now);
  /// Records that an answer of the worker was lost.
  void onAnswerLost(size_t Worker, absl::Time Now);

  /// Applies changes that depend on time: ends of ejections, and one request
  /// may probe a worker that looks full in an old view.
  void refreshAll(absl::Time Now);

  /// Allows one urgent request to probe the worker with the oldest view. Called
  /// when all workers look full.
  /// \returns false if no worker with an old enough view may be probed.
  bool allowProbeOfOldestView(absl::Time Now);

  const WorkerCapacity &view(size_t Worker) const {
    return this->Workers[Worker].View;
  }
  /// Number of requests that can be sent to workers now.
  int availableCapacity() const { return this->AvailableSlotTotal; }
  /// Returns true if only urgent work may be sent: the remaining free slots
  /// belong to the urgent reserve, or this host has used its slot share.
  /// \param ReserveShare share of all slots that only urgent work may use.
  /// \param SlotShare share of the other slots that this host may fill with
  /// work
  ///        that is not urgent.
  bool isOnlyUrgentAllowed(double ReserveShare, double SlotShare) const;
  /// Returns true if this host's requests that are not urgent use its whole
  /// share of the slots outside the urgent reserve.
  bool isShareUsed(double ReserveShare, double SlotShare) const;

private:
  struct Worker {
    WorkerCapacity View;
    bool Present = false;
    std::unique_ptr<ConcurrencyLimiter> Limiter;
    absl::Time ViewTime;
    uint64_t ViewSerial = 0;
    /// Contributions to AvailableSlotTotal and SlotTotal.
    int Available = 0;
    int Slots = 0;
  };

  size_t indexFor(const WorkerId &Id);
  void refresh(size_t Index, absl::Time Now);
  void updateTotals(size_t Index);
  void setFreeSlots(size_t Index, int FreeSlots, absl::Time Now);

  std::unique_ptr<WorkerSelector> Selector;
  std::unique_ptr<WorkerHealth> Health;
  ConcurrencyControl Control;
  std::vector<Worker> Workers;
  /// Same indexes as Workers; a separate array, because the selector takes a
  /// contiguous span.
  std::vector<WorkerCandidate> Candidates;
  absl::flat_hash_map<WorkerId, size_t> Index;
  int AvailableSlotTotal = 0;
  int SlotTotal = 0;
  /// Requests of this host in flight on all workers.
  int InFlightTotal = 0;
  int UrgentInFlight = 0;
};

} // namespace vanillayard

#endif
