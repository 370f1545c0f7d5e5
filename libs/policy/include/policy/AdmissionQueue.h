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

/// One queued request: the data that the admission queue needs.
struct QueueItem {
  KindOfWorkId Kind;
  ClientAccountId Account;
  CallerId Caller;
  absl::Time Deadline = absl::InfiniteFuture();
  /// Opaque value of the queue's user, returned by pop() and popExpired().
  uint64_t Token = 0;
  /// Expected slot time, in slot-seconds or any other unit that all items
  /// share. Weighted shares of service are measured in this cost. Above 0.
  double Cost = 1;
};

/// Bounded queue of admitted requests that wait for a slot.
class AdmissionQueue {
public:
  /// Identifies a queued item. Never 0, and never reused.
  using Handle = uint64_t;

  struct PoppedItem {
    uint64_t Token = 0;
    /// The deadline has passed; the item must not be dispatched.
    bool Expired = false;
  };

  virtual ~AdmissionQueue() = default;

  static std::unique_ptr<AdmissionQueue> create(QueueOrder Order,
                                                QueueSettings Settings);

  /// Replaces the settings. Items that are already queued stay queued, even if
  /// there are more of them than the new bound allows.
  virtual void configure(QueueSettings Settings) = 0;

  /// Adds an item.
  /// \returns the handle of the item, or an error: QueueFull or
  ///          DeadlineUnreachable with the time after which a retry can be
  ///          admitted, or NoCapacity if the preset does not admit deferrable
  ///          work.
  virtual absl::StatusOr<Handle> push(const QueueItem &Item,
                                      absl::Time Now) = 0;

  /// Removes an item in constant time.
  /// \returns false if it is not queued any more.
  virtual bool cancel(Handle Item) = 0;

  /// Removes and returns the next item to dispatch.
  /// \param UrgentOnly returns items of urgent kinds only, as only the slots
  ///        reserved for them are free. The FIFO queue, which is the baseline,
  ///        has no such reserve and ignores this parameter.
  virtual std::optional<PoppedItem> pop(absl::Time Now, bool UrgentOnly) = 0;

  /// Removes one item whose deadline has passed, at any position in the queue.
  /// \returns its token, or nothing if no item has expired.
  virtual std::optional<uint64_t> popExpired(absl::Time Now) = 0;

  /// Expected waiting time of \p Item if it is pushed now. The estimate uses
  /// the rate at which the queue served items while it had a backlog: of the
  /// item's kind in the weighted fair queue, of all kinds in the FIFO queue.
  virtual absl::Duration estimatedWait(const QueueItem &Item,
                                       absl::Time Now) const = 0;

  /// Expected time to serve all queued items of \p Kind; in the FIFO queue, of
  /// all kinds.
  virtual absl::Duration drainTime(const KindOfWorkId &Kind,
                                   absl::Time Now) const = 0;

  virtual size_t size() const = 0;
  virtual size_t size(const KindOfWorkId &Kind) const = 0;
};

} // namespace vanillayard

#endif
