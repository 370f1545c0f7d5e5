#ifndef VANILLAYARD_CONTROL_PROGRESSWRITER_H
#define VANILLAYARD_CONTROL_PROGRESSWRITER_H

#include "JobRemoval.h"
#include "RunEndCursor.h"
#include "base/Executor.h"
#include "scheduler/ProgressChange.h"
#include "store/StoreCommit.h"
#include "store/StoreItem.h"
#include "store/StoreTransaction.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

class CoordinationStore;
class Log;
class Scheduler;

/// Writes changed progress records to the store. It batches records in
/// transactions. A few of them, for different records, may be in flight at a
/// time, so that a lost answer delays only the records that it was about.
///
/// A transaction without an answer is looked for in the store before its call
/// times out: starts wait for the records of their placements.
///
/// Every transaction is conditional on the revision of the leader's key, so
/// that a former leader changes nothing, and on the revision of each record, so
/// that a write whose answer was lost cannot replace a newer one later. A
/// record with another revision is replaced only if its mark shows that this
/// writer has written it.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
  /// Supplies and receives positions of ended runs, and is notified of results.
  class Owner {
  public:
    virtual ~Owner() = default;
    /// Position of the last ended run that the scheduler has processed, by
    /// worker.
    virtual RunEndCursors processedEnds() const = 0;
    /// Ends of runs up to \p Ends are recorded in the store.
    virtual void endsRecorded(const RunEndCursors &Ends) = 0;
    /// The store has another leader's key than the one that this host wrote, or
    /// none. The write is retried.
    virtual void leaderKeyMissing() = 0;
    /// The store has a progress record that neither this writer has written nor
    /// this leader has read. Nothing may be decided from the known state.
    virtual void recordsDiffer() = 0;
    /// The change is in the store.
    virtual void progressWritten(const ProgressChange &Change) = 0;
    /// All changes of a transaction have been passed to progressWritten().
    virtual void transactionWritten() = 0;
  };

  /// \param LeaderKeyRevision revision of the leader's key that this host
  ///        wrote; every write is conditioned on it.
  ProgressWriter(Executor &Exec, CoordinationStore &Store,
                 Scheduler &JobScheduler, Owner &OwnerRef,
                 int64_t LeaderKeyRevision, Log &Events)
      : Exec(Exec), Store(Store), JobScheduler(JobScheduler),
        OwnerRef(OwnerRef), LeaderKeyRevision(LeaderKeyRevision),
        Term(LeaderKeyRevision), Events(Events) {}

  void setLeaderKeyRevision(int64_t Revision) {
    this->LeaderKeyRevision = Revision;
  }

  /// Raises the revision that the store's record is known to have.
  void noteRevision(const std::string &Key, int64_t Revision);
  /// Forgets the revision of a record that was deleted at \p DeletedAt.
  void forgetRevision(const std::string &Key, int64_t DeletedAt);
  /// Schedules a write of everything that has changed.
  void requestWrite();
  /// The same, without the delay that collects changes.
  void requestPromptWrite();
  /// Writes a record that is not progress, with retries. \p Done runs after
  /// success.
  void putRecord(std::string Key, std::string Value,
                 std::function<void()> Done);
  /// Deletes all records of a job in one transaction, with retries, unless the
  /// job's record has another revision than \p Removal names.
  void removeJob(JobRemoval Removal);

  void close() { this->IsClosed = true; }

private:
  struct ExtraPut {
    std::string Key;
    std::string Value;
    std::function<void()> Done;
  };

  void flush();
  /// Content of one transaction.
  struct Batch {
    std::vector<ProgressChange> Changes;
    std::vector<ExtraPut> Puts;
    std::vector<JobRemoval> Removals;
  };
  /// A transaction without an answer.
  struct PendingWrite {
    Batch Sent;
    /// Revision of the leader's key that the transaction named.
    int64_t SentUnder = 0;
    /// One of its records, with the mark of this transaction, which shows
    /// whether it was applied; empty if it holds no progress.
    std::string ProbeKey;
    std::string ProbeValue;
    /// It holds records other than progress, or deletes some.
    bool HasOtherRecords = false;
  };
  int64_t knownRevision(const std::string &Key) const;
  void addPut(StoreTransaction &Transaction, const std::string &Key,
              std::string Value) const;
  static void addRemoval(StoreTransaction &Transaction,
                         const JobRemoval &Removal);
  absl::flat_hash_set<JobId> jobsInFlight() const;
  bool isFull() const;
  std::string markRecord(std::string Record, uint64_t Id) const;
  bool isOwnRecord(const StoreItem &Item) const;
  void send(StoreTransaction Transaction, uint64_t Id);
  void probeLater(uint64_t Id);
  void probeAnswered(uint64_t Id,
                     const absl::StatusOr<std::optional<StoreItem>> &Result);
  void commitAnswered(const absl::StatusOr<StoreCommit> &Result, uint64_t Id);
  void noteEnds();
  void releaseEnds();
  void requeue(Batch Sent);
  bool adoptRevisions(const std::vector<StoreItem> &Found, const Batch &Sent);
  void dropOutdatedRemovals(const std::vector<StoreItem> &Found, Batch &Sent);
  void commitSucceeded(int64_t Revision, const Batch &Sent);
  void scheduleFlush(absl::Duration Delay);

  Executor &Exec;
  CoordinationStore &Store;
  Scheduler &JobScheduler;
  Owner &OwnerRef;
  int64_t LeaderKeyRevision;
  /// Names this writer in the marks of its records.
  int64_t Term;
  Log &Events;
  /// Known revision in the store of each record, by key.
  absl::flat_hash_map<std::string, int64_t> Revisions;
  std::vector<ExtraPut> ExtraPuts;
  /// Jobs whose records are to be deleted, in the order of the requests.
  std::deque<JobRemoval> Removals;
  std::map<uint64_t, PendingWrite> InFlight;
  uint64_t NextWrite = 1;
  bool IsFlushScheduled = false;
  bool IsWriteRequested = false;
  /// A prompt write was requested and has not been sent.
  bool IsPromptRequested = false;
  /// Ends of runs that count as recorded once all transactions up to the given
  /// one are applied.
  std::map<uint64_t, RunEndCursors> PendingEnds;
  bool IsClosed = false;
};

} // namespace vanillayard

#endif
