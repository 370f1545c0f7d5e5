#include "ProgressWriter.h"

#include "base/ErrorKind.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "scheduler/Scheduler.h"
#include "store/CoordinationStore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace vanillayard {

/// Delay from the first change to the transaction that writes it and the
/// changes that follow meanwhile. It limits the rate of writes and delays by as
/// much when callers see that a job has ended.
static constexpr absl::Duration CollectTime = absl::Milliseconds(30);
/// Delay before a failed transaction is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(150);
/// Transaction entries per written record: the put and its condition.
static constexpr size_t EntriesPerPut = 2;
/// Maximum number of records other than progress in one transaction.
static constexpr size_t MaxExtraPuts = 4;

void ProgressWriter::requestWrite() {
  this->IsWriteRequested = true;
  this->scheduleFlush(CollectTime);
}

void ProgressWriter::requestPromptWrite() {
  this->IsWriteRequested = true;
  if (this->IsClosed || std::exchange(this->IsPromptRequested, true) ||
      this->IsWriting)
    return;
  this->Exec.post([Weak = this->weak_from_this()] {
    std::shared_ptr<ProgressWriter> Self = Weak.lock();
    if (Self && !Self->IsClosed && !Self->IsWriting)
      Self->flush();
  });
}

void ProgressWriter::putRecord(std::string Key, std::string Value,
                               std::function<void()> Done) {
  this->ExtraPuts.push_back(
      {std::move(Key), std::move(Value), std::move(Done)});
  this->requestWrite();
}

void ProgressWriter::removeRecords(std::vector<std::string> Keys) {
  for (std::string &Key : Keys)
    this->Removes.push_back(std::move(Key));
  this->requestWrite();
}

void ProgressWriter::scheduleFlush(absl::Duration Delay) {
  if (this->IsFlushScheduled || this->IsWriting || this->IsClosed)
    return;
  this->IsFlushScheduled = true;
  this->Exec.runAfter(Delay, [Weak = this->weak_from_this()] {
    std::shared_ptr<ProgressWriter> Self = Weak.lock();
    if (!Self || Self->IsClosed)
      return;
    Self->IsFlushScheduled = false;
    if (!Self->IsWriting)
      Self->flush();
  });
}

void ProgressWriter::noteRevision(const std::string &Key, int64_t Revision) {
  int64_t &Known = this->Revisions[Key];
  Known = std::max(Known, Revision);
}

void ProgressWriter::addPut(StoreTransaction &Transaction,
                            const std::string &Key, std::string Value) const {
  auto Known = this->Revisions.find(Key);
  Transaction.Conditions.push_back(
      {Key, Known == this->Revisions.end() ? 0 : Known->second});
  Transaction.Puts.push_back({Key, std::move(Value), 0});
}

void ProgressWriter::flush() {
  this->IsWriteRequested = false;
  this->IsPromptRequested = false;
  StoreTransaction Transaction;
  Transaction.Conditions.push_back(
      {std::string(RecordKeys::Leader), this->LeaderKeyRevision});
  Batch Sent;
  while (!this->ExtraPuts.empty() && Sent.Puts.size() < MaxExtraPuts) {
    ExtraPut &Next = this->ExtraPuts.front();
    this->addPut(Transaction, Next.Key, Next.Value);
    Sent.Puts.push_back(std::move(Next));
    this->ExtraPuts.erase(this->ExtraPuts.begin());
  }
  Sent.Ends = this->OwnerRef.processedEnds();
  Sent.Changes = this->JobScheduler.takeChanges(
      (StoreTransaction::MaxEntries - Transaction.entryCount()) /
      EntriesPerPut);
  for (const ProgressChange &Change : Sent.Changes)
    this->addPut(Transaction, RecordKeys::progress(Change.Job), Change.Record);
  // Ends of runs count as recorded only when this transaction holds all changes
  // so far.
  if (this->JobScheduler.hasChanges())
    Sent.Ends.clear();
  while (!this->Removes.empty() &&
         Transaction.entryCount() < StoreTransaction::MaxEntries) {
    this->Revisions.erase(this->Removes.back());
    Transaction.Removes.push_back(this->Removes.back());
    Sent.Removes.push_back(std::move(this->Removes.back()));
    this->Removes.pop_back();
  }
  if (Transaction.entryCount() == 1) {
    this->OwnerRef.endsRecorded(Sent.Ends);
    return;
  }
  this->IsWriting = true;
  this->Store.commit(std::move(Transaction),
                     [Weak = this->weak_from_this(), Sent = std::move(Sent),
                      SentUnder = this->LeaderKeyRevision](
                         absl::StatusOr<StoreCommit> Result) mutable {
                       std::shared_ptr<ProgressWriter> Self = Weak.lock();
                       if (!Self || Self->IsClosed)
                         return;
                       Self->IsWriting = false;
                       Self->commitAnswered(Result, SentUnder, std::move(Sent));
                     });
}

/// \param SentUnder revision of the leader's key that the transaction named.
void ProgressWriter::commitAnswered(const absl::StatusOr<StoreCommit> &Result,
                                    int64_t SentUnder, Batch Sent) {
  if (Result.ok() && Result->IsApplied)
    return this->commitSucceeded(Result->Revision, Sent);
  absl::Duration Delay = absl::ZeroDuration();
  if (Result.ok()) {
    bool IsLeader = false;
    for (const StoreItem &Item : Result->Found)
      IsLeader |= Item.Key == RecordKeys::Leader && Item.Revision == SentUnder;
    if (IsLeader) {
      this->adoptRevisions(Result->Found, Sent);
    } else {
      if (SentUnder == this->LeaderKeyRevision)
        this->OwnerRef.leaderKeyMissing();
      Delay = RetryDelay;
    }
  } else {
    this->Events.warning("leader", "progress records could not be written",
                         {{"records", Sent.Changes.size()},
                          {"deletions", Sent.Removes.size()},
                          {"error", Result.status()}});
    Delay = RetryDelay;
  }
  this->requeue(std::move(Sent));
  this->scheduleFlush(Delay);
}

/// Adopts the revisions found in the store. They differ from the known ones if
/// the store applied an earlier write but its answer was lost.
void ProgressWriter::adoptRevisions(const std::vector<StoreItem> &Found,
                                    const Batch &Sent) {
  this->Events.info("leader", "records do not have the expected revisions",
                    {{"records", Sent.Changes.size()}});
  for (const ProgressChange &Change : Sent.Changes)
    this->Revisions.erase(RecordKeys::progress(Change.Job));
  for (const ExtraPut &Put : Sent.Puts)
    this->Revisions.erase(Put.Key);
  for (const StoreItem &Item : Found)
    if (Item.Key != RecordKeys::Leader)
      this->Revisions[Item.Key] = Item.Revision;
}

void ProgressWriter::requeue(Batch Sent) {
  for (const ProgressChange &Change : Sent.Changes)
    this->JobScheduler.progressWriteFailed(Change.Job);
  std::move(this->ExtraPuts.begin(), this->ExtraPuts.end(),
            std::back_inserter(Sent.Puts));
  this->ExtraPuts = std::move(Sent.Puts);
  std::move(Sent.Removes.begin(), Sent.Removes.end(),
            std::back_inserter(this->Removes));
  this->IsWriteRequested = true;
}

void ProgressWriter::commitSucceeded(int64_t Revision, const Batch &Sent) {
  for (const ProgressChange &Change : Sent.Changes) {
    this->Revisions[RecordKeys::progress(Change.Job)] = Revision;
    this->JobScheduler.progressWritten(Change);
    this->OwnerRef.progressWritten(Change);
  }
  for (const ExtraPut &Put : Sent.Puts) {
    this->Revisions[Put.Key] = Revision;
    if (Put.Done)
      Put.Done();
  }
  this->OwnerRef.endsRecorded(Sent.Ends);
  this->OwnerRef.transactionWritten();
  if (this->IsWriting)
    return;
  if (this->IsPromptRequested ||
      this->JobScheduler.hasUnrecordedUrgentPlacements())
    this->flush();
  else if (this->IsWriteRequested || this->JobScheduler.hasChanges() ||
           !this->ExtraPuts.empty() || !this->Removes.empty())
    this->scheduleFlush(CollectTime);
}

} // namespace vanillayard
