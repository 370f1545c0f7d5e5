#ifndef VANILLAYARD_POLICY_FIFOQUEUE_H
#define VANILLAYARD_POLICY_FIFOQUEUE_H

#include "DeadlineWheel.h"
#include "DrainRate.h"
#include "policy/AdmissionQueue.h"

#include <vector>

namespace vanillayard {

/// Baseline: one first-in, first-out queue for all kinds and accounts, without
/// weights and without slots reserved for urgent kinds.
class FifoQueue final : public AdmissionQueue {
public:
  explicit FifoQueue(QueueSettings Settings);

  void configure(QueueSettings Settings) override;
  absl::StatusOr<Handle> push(const QueueItem &Item, absl::Time Now) override;
  bool cancel(Handle Item) override;
  std::optional<PoppedItem> pop(absl::Time Now, bool UrgentOnly) override;
  std::optional<uint64_t> popExpired(absl::Time Now) override;
  absl::Duration estimatedWait(const QueueItem &Item,
                               absl::Time Now) const override;
  absl::Duration drainTime(const KindOfWorkId &Kind,
                           absl::Time Now) const override;
  size_t size() const override { return this->Count; }
  size_t size(const KindOfWorkId &Kind) const override;

private:
  static constexpr uint32_t None = UINT32_MAX;

  struct Entry {
    uint32_t Generation = 1;
    uint32_t Next = None;
    uint32_t Previous = None;
    bool Queued = false;
    uint64_t Token = 0;
    absl::Time Deadline;
    KindOfWorkId Kind;
  };

  void unlinkEntry(uint32_t Index);

  QueueSettings Settings;
  std::vector<Entry> Entries;
  std::vector<uint32_t> FreeEntries;
  uint32_t Head = None;
  uint32_t Tail = None;
  size_t Count = 0;
  DrainRate Rate;
  DeadlineWheel Deadlines;
  absl::flat_hash_map<KindOfWorkId, size_t> CountByKind;
};

} // namespace vanillayard

#endif
