#ifndef VANILLAYARD_POLICY_FAIRQUEUE_H
#define VANILLAYARD_POLICY_FAIRQUEUE_H

#include "DeadlineWheel.h"
#include "DrainRate.h"
#include "policy/AdmissionQueue.h"

#include "absl/container/flat_hash_map.h"

#include <string_view>
#include <vector>

namespace vanillayard {

/// Weighted fair queue of three levels.
///
/// Kinds and accounts are served in order of their virtual time, which grows
/// by cost / weight with every item served. Callers of an account are served
/// in turn. A kind or caller that floods cannot fill the queue: it may hold at
/// most as many items as there is room left, for kinds in the queue and for
/// callers in the bound of their account.
class FairQueue final : public AdmissionQueue {
public:
  explicit FairQueue(QueueSettings Settings);

  void configure(QueueSettings Settings) override;
  absl::StatusOr<Handle> push(const QueueItem &Item, absl::Time Now) override;
  bool cancel(Handle Item) override;
  std::optional<Popped> pop(absl::Time Now, bool UrgentOnly) override;
  std::optional<uint64_t> popExpired(absl::Time Now) override;
  absl::Duration estimatedWait(const QueueItem &Item,
                               absl::Time Now) const override;
  absl::Duration drainTime(const KindId &Kind, absl::Time Now) const override;
  size_t size() const override { return this->Total; }
  size_t size(const KindId &Kind) const override;

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
  /// One account within one kind.
  struct AccountNode {
    uint32_t Kind = None;
    uint32_t Bound = None;
    double Pass = 0;
    size_t Count = 0;
    /// Position in KindNode::Active.
    size_t Position = 0;
    /// Callers with items, in the order of their turns.
    uint32_t FirstCaller = None;
    uint32_t LastCaller = None;
    absl::flat_hash_map<CallerId, uint32_t> Callers;
  };
  /// One account over all kinds.
  struct AccountBound {
    QueueSettings::AccountShare Share;
    size_t Count = 0;
  };
  struct KindNode {
    QueueSettings::KindShare Share;
    double Pass = 0;
    /// Least pass of an account served last.
    double VirtualTime = 0;
    size_t Count = 0;
    DrainRate Rate;
    std::vector<uint32_t> Active;
    absl::flat_hash_map<ClientAccountId, uint32_t> Accounts;
  };

  absl::Status refuse(const QueueItem &Item, const KindNode &Kind,
                      const AccountNode &Account, absl::Time Now) const;
  absl::Duration waitIn(const QueueItem &Item, const KindNode &Kind,
                        absl::Time Now) const;
  uint32_t kindNode(const KindId &Name);
  uint32_t accountNode(uint32_t Kind, const ClientAccountId &Name);
  uint32_t callerNode(uint32_t Account, const CallerId &Name);
  uint32_t newEntry();
  void link(uint32_t Index, uint32_t Caller);
  /// Removes an entry from its caller and frees it.
  void unlink(uint32_t Index);
  void appendCaller(AccountNode &Account, uint32_t Caller);
  void removeCaller(AccountNode &Account, uint32_t Caller);
  void activate(uint32_t Account);
  void deactivate(uint32_t Account);
  KindNode *nextKind(bool UrgentOnly);
  AccountNode &nextAccount(KindNode &Kind);
  KindNode &kindOf(const Entry &E);

  QueueSettings Settings;
  size_t Total = 0;
  double VirtualTime = 0;
  std::vector<Entry> Entries;
  std::vector<uint32_t> FreeEntries;
  std::vector<CallerNode> Callers;
  std::vector<uint32_t> FreeCallers;
  std::vector<AccountNode> Accounts;
  std::vector<AccountBound> Bounds;
  std::vector<KindNode> Kinds;
  absl::flat_hash_map<KindId, uint32_t> KindIndex;
  absl::flat_hash_map<ClientAccountId, uint32_t> BoundIndex;
  DeadlineWheel Deadlines;
};

} // namespace vanillayard

#endif
