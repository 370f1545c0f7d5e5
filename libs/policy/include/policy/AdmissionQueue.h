#ifndef VANILLAYARD_POLICY_ADMISSIONQUEUE_H
#define VANILLAYARD_POLICY_ADMISSIONQUEUE_H

#include "base/Ids.h"
#include "policy/PolicyNames.h"
#include "policy/QueueSettings.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace vanillayard {

/// One waiting request, as the queue sees it.
struct QueueItem {
  KindId Kind;
  ClientAccountId Account;
  CallerId Caller;
  absl::Time Deadline = absl::InfiniteFuture();
  /// Value of the owner, returned by pop().
  uint64_t Token = 0;
  /// Expected use of slots, in seconds of one slot or any unit that all items
  /// share. Shares are shares of this cost. Above 0.
  double Cost = 1;
};

/// Queue of admitted requests that wait for a slot. Bounded.
class AdmissionQueue {
public:
  /// Identifies a queued item; 0 is never used, and a handle is not reused.
  using Handle = uint64_t;

  struct Popped {
    uint64_t Token = 0;
    /// The deadline has passed; the item must not be dispatched.
    bool Expired = false;
  };

  virtual ~AdmissionQueue() = default;

  static std::unique_ptr<AdmissionQueue> create(QueueOrder Order,
                                                QueueSettings Settings);

  /// Replaces the settings. Queued items stay, also above a smaller bound.
  virtual void configure(QueueSettings Settings) = 0;

  /// Adds an item.
  /// \returns QueueFull, NoCapacity (the preset does not admit deferrable
  ///          work) or DeadlineUnreachable, with the time after which a retry
  ///          can be admitted.
  virtual absl::StatusOr<Handle> push(const QueueItem &Item,
                                      absl::Time Now) = 0;

  /// Removes an item in constant time.
  /// \returns false if it is not queued any more.
  virtual bool cancel(Handle Item) = 0;

  /// Takes the next item.
  /// \param UrgentOnly only the urgent reserve of slots is free, so only items
  ///        of urgent kinds are taken. The baseline has no such reserve.
  virtual std::optional<Popped> pop(absl::Time Now, bool UrgentOnly) = 0;

  /// Takes one item whose deadline passed, wherever it stands.
  virtual std::optional<uint64_t> popExpired(absl::Time Now) = 0;

  /// Expected waiting time of \p Item if it is pushed now, from the drain rate
  /// measured while its kind had a backlog.
  virtual absl::Duration estimatedWait(const QueueItem &Item,
                                       absl::Time Now) const = 0;

  /// Expected time to serve all queued items of \p Kind.
  virtual absl::Duration drainTime(const KindId &Kind,
                                   absl::Time Now) const = 0;

  virtual size_t size() const = 0;
  virtual size_t size(const KindId &Kind) const = 0;
};

} // namespace vanillayard

#endif
