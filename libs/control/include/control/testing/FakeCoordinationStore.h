#ifndef VANILLAYARD_CONTROL_TESTING_FAKECOORDINATIONSTORE_H
#define VANILLAYARD_CONTROL_TESTING_FAKECOORDINATIONSTORE_H

#include "base/Executor.h"
#include "store/CoordinationStore.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace vanillayard {

/// In-memory CoordinationStore for tests, on the executor's clock.
class FakeCoordinationStore final : public CoordinationStore {
public:
  enum class Fault {
    None,
    /// Answered with PlatformUnavailable; the store does nothing.
    Refuse,
    /// Applied, but the answer is lost.
    LoseAnswer,
    /// No answer; applied LateBy later, a commit only if its conditions hold
    /// then.
    ApplyLate,
    /// No answer, and never applied.
    Drop,
  };

  explicit FakeCoordinationStore(Executor &Exec) : Exec(Exec) {}

  /// Time from a call to its answer.
  absl::Duration Latency = absl::Milliseconds(4);
  /// Time after which an unanswered call fails: a commit with OutcomeUnknown,
  /// other calls with PlatformUnavailable.
  absl::Duration CallTimeout = absl::Seconds(1);
  absl::Duration LateBy = absl::Seconds(3);
  /// Chooses the fault of each call, by its name: get, list, watch, commit,
  /// grant, keep or end. A watch with any fault ends as OutcomeUnknown after
  /// its wait.
  std::function<Fault(const std::string &Call)> Faults;
  /// Number of calls, by the same names.
  std::map<std::string, int> Calls;

  void get(const std::string &Key, GetCallback Done) override;
  void list(const std::string &Prefix, ListCallback Done) override;
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override;
  void commit(StoreTransaction Transaction, CommitCallback Done) override;
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override;
  void renewLease(int64_t Lease, DoneCallback Done) override;
  void endLease(int64_t Lease, DoneCallback Done) override;

  /// Writes a key at once, without a condition or lease, as operators do.
  void put(const std::string &Key, const std::string &Value);
  /// Deletes a key, as an operator does.
  void remove(const std::string &Key);
  /// Value of a key, or an empty string.
  std::string value(const std::string &Key) const;
  bool has(const std::string &Key) const { return this->Items.contains(Key); }
  /// Number of keys that start with \p Prefix.
  size_t countWithPrefix(const std::string &Prefix) const;
  /// Drops the history: a watch from an earlier revision answers that changes
  /// are lost.
  void compact();
  /// Ends all leases and deletes their keys.
  void expireAllLeases();

private:
  struct Entry {
    std::string Value;
    int64_t Revision = 0;
    int64_t Lease = 0;
  };
  struct Lease {
    absl::Duration TimeToLive;
    absl::Time Expires;
  };
  struct Watch {
    std::string Prefix;
    int64_t After;
    uint64_t Id;
    ChangesCallback Done;
  };
  using Work = std::function<void()>;

  void runCall(const std::string &Name, Work Apply, Work Answer, Work GiveUp);
  StoreCommit applyTransaction(const StoreTransaction &Transaction);
  void recordChange(const std::string &Key, const std::string *Value,
                    int64_t Lease);
  void removeExpiredLeases();
  void removeLease(int64_t Id);
  StoreChanges changesAfter(const std::string &Prefix, int64_t After) const;
  void answerWatches();

  Executor &Exec;
  std::map<std::string, Entry> Items;
  std::vector<StoreChange> History;
  std::map<int64_t, Lease> Leases;
  std::list<Watch> Watches;
  int64_t Revision = 100;
  int64_t CompactedRevision = 0;
  int64_t NextLease = 1;
  uint64_t NextWatch = 1;
};

} // namespace vanillayard

#endif
