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

/// The workers of this data centre with this host's use of them. A worker
/// keeps its index while requests are in flight on it.
class WorkerTable {
public:
  /// Place on a worker that one attempt takes.
  struct Reservation {
    size_t Worker = 0;
    /// View at the time of the reservation.
    uint64_t ViewSerial = 0;
    bool Urgent = false;
  };

  WorkerTable(std::unique_ptr<WorkerSelector> Selector,
              std::unique_ptr<WorkerHealth> Health, ConcurrencyControl Control);

  void update(const WorkerCapacity &View, absl::Time Now);
  void remove(const WorkerId &Id);

  /// Takes a place on a worker that is not one of \p Avoid.
  std::optional<Reservation> reserve(std::span<const size_t> Avoid,
                                     bool Urgent);
  /// Gives a place back.
  /// \param FreeSlots as the worker reported it with the answer; -1 if not.
  void release(const Reservation &Place, int FreeSlots, absl::Time Now);

  void onSuccess(size_t Worker, absl::Time Now);
  void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                 absl::Time Now);
  /// The worker refused: it has no free slot.
  void onRefused(size_t Worker, absl::Time Now);
  /// An answer was lost.
  void onLost(size_t Worker, absl::Time Now);

  /// Applies what changes with time: ends of ejections, and full workers whose
  /// view is old are tried with one request.
  void refreshAll(absl::Time Now);

  /// Lets one request try the worker with the oldest view, for urgent work
  /// when all workers look full.
  /// \returns false if every view is too new for that.
  bool openOldestView(absl::Time Now);

  const WorkerCapacity &view(size_t Worker) const {
    return this->Workers[Worker].View;
  }
  /// Requests that can be sent now.
  int room() const { return this->RoomTotal; }
  /// True if the slots that are left belong to the urgent reserve.
  /// \param ReserveShare share of all slots that only urgent work may use.
  /// \param HostShare share of the other slots that this host may fill.
  bool isReserveLeft(double ReserveShare, double HostShare) const;
  /// True if this host has filled its share of the slots that are not kept
  /// for urgent work.
  bool isShareUsed(double ReserveShare, double HostShare) const;

private:
  struct Worker {
    WorkerCapacity View;
    bool Present = false;
    std::unique_ptr<ConcurrencyLimiter> Limiter;
    absl::Time ViewTime;
    uint64_t ViewSerial = 0;
    /// Contribution to the totals.
    int Room = 0;
    int Slots = 0;
  };

  size_t indexFor(const WorkerId &Id);
  void refresh(size_t Index, absl::Time Now);
  void countIn(size_t Index);
  void setFreeSlots(size_t Index, int FreeSlots, absl::Time Now);

  std::unique_ptr<WorkerSelector> Selector;
  std::unique_ptr<WorkerHealth> Health;
  ConcurrencyControl Control;
  std::vector<Worker> Workers;
  /// Same indexes as Workers; contiguous for the selector.
  std::vector<WorkerCandidate> Candidates;
  absl::flat_hash_map<WorkerId, size_t> Index;
  int RoomTotal = 0;
  int SlotTotal = 0;
  /// Requests of this host in flight.
  int InFlightTotal = 0;
  int UrgentInFlight = 0;
};

} // namespace vanillayard

#endif
