#ifndef VANILLAYARD_POLICY_FAIRQUEUE_H
#define VANILLAYARD_POLICY_FAIRQUEUE_H

#include "DeadlineWheel.h"
#include "DrainRate.h"
#include "policy/AdmissionQueue.h"

#include "absl/container/flat_hash_map.h"

#include <string_view>
#include <vector>

namespace vanillayard {

/// Weighted fair queue with three levels: kinds, accounts within a kind, and
/// callers within an account.
///
/// Kinds and accounts are served by stride scheduling: the one with the lowest
/// pass is next, and its pass grows by cost / weight with every item served.
/// Callers of an account are served round-robin.
///
/// No kind and no caller can fill the queue alone. A new item is admitted only
/// if its kind holds fewer items than the queue has room for, and its caller
/// fewer than the bound of its account has room for.
class FairQueue final : public AdmissionQueue {
public:
  explicit FairQueue(QueueSettings Settings);

  void configure(QueueSettings Settings) override;
  absl::StatusOr<Handle> push(const QueueItem &Item, absl::Time Now) override;
  bool cancel(Handle Item) override;
  std::optional<PoppedItem> pop(absl::Time Now, bool UrgentOnly) override;
  std::optional<uint64_t> popExpired(absl::Time Now) override;
  absl::Duration estimatedWait(const QueueItem &Item,
                               absl::Time Now) const override;
  absl::Duration drainTime(const KindOfWorkId &Kind,
                           absl::Time Now) const override;
  size_t size() const override { return this->Total; }
  size_t size(const KindOfWorkId &Kind) const override;

private:
  static constexpr uint32_t None = UINT32_MAX;

  struct Entry {
    uint32_t Generation = 1;
    uint32_t Next = None;
    uint32_t Previous = None;
    uint32_t Caller = None;
    uint64_t Token = 0;
    double Cost = 1;
    absl::Time Deadline;
  };
  struct CallerNode {
    CallerId Name;
    uint32_t Account = None;
    uint32_t Head = None;
    uint32_t Tail = None;
    size_t Count = 0;
    uint32_t Next = None;
    uint32_t Previous = None;
  };
  /// One account within one kind: its queued items of that kind.
  struct AccountNode {
    uint32_t Kind = None;
    uint32_t Bound = None;
    double Pass = 0;
    size_t Count = 0;
    /// Index in KindNode::Active.
    size_t Position = 0;
    /// Linked list of the callers with queued items, in round-robin order.
    uint32_t FirstCaller = None;
    uint32_t LastCaller = None;
    absl::flat_hash_map<CallerId, uint32_t> Callers;
  };
  /// One account over all kinds: its settings and number of queued items.
  struct AccountBound {
    QueueSettings::AccountSettings Settings;
    size_t Count = 0;
  };
  struct KindNode {
    QueueSettings::KindSettings Settings;
    double Pass = 0;
    /// Highest pass at which an account was selected. An account that becomes
    /// active starts at least here.
    double VirtualTime = 0;
    size_t Count = 0;
    DrainRate Rate;
    /// Accounts with queued items.
    std::vector<uint32_t> Active;
    absl::flat_hash_map<ClientAccountId, uint32_t> Accounts;
  };

  /// Returns an error if \p Item must not be admitted.
  absl::Status checkAdmission(const QueueItem &Item, const KindNode &Kind,
                              const AccountNode &Account, absl::Time Now) const;
  absl::Duration estimatedWaitInKind(const QueueItem &Item,
                                     const KindNode &Kind,
                                     absl::Time Now) const;
  uint32_t findOrAddKind(const KindOfWorkId &Name);
  uint32_t findOrAddAccount(uint32_t Kind, const ClientAccountId &Name);
  uint32_t findOrAddCaller(uint32_t Account, const CallerId &Name);
  uint32_t allocateEntry();
  /// Appends an entry to the list of its caller.
  void linkEntry(uint32_t Index, uint32_t Caller);
  /// Removes an entry from the list of its caller and frees it.
  void unlinkEntry(uint32_t Index);
  void appendCaller(AccountNode &Account, uint32_t Caller);
  void removeCaller(AccountNode &Account, uint32_t Caller);
  void activateAccount(uint32_t Account);
  void deactivateAccount(uint32_t Account);
  KindNode *selectNextKind(bool UrgentOnly);
  AccountNode &selectNextAccount(KindNode &Kind);
  KindNode &kindOf(const Entry &E);

  QueueSettings Settings;
  size_t Total = 0;
  /// Pass at which a kind that becomes active starts, unless its own is higher.
  double VirtualTime = 0;
  std::vector<Entry> Entries;
  std::vector<uint32_t> FreeEntries;
  std::vector<CallerNode> Callers;
  std::vector<uint32_t> FreeCallers;
  std::vector<AccountNode> Accounts;
  std::vector<AccountBound> Bounds;
  std::vector<KindNode> Kinds;
  absl::flat_hash_map<KindOfWorkId, uint32_t> KindIndex;
  absl::flat_hash_map<ClientAccountId, uint32_t> BoundIndex;
  DeadlineWheel Deadlines;
};

} // namespace vanillayard

#endif
