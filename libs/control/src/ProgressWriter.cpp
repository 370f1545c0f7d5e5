#include "ProgressWriter.h"

#include "base/ErrorKind.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "scheduler/Scheduler.h"
#include "store/CoordinationStore.h"

#include "absl/strings/match.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace vanillayard {

/// Delay from the first change to the transaction that writes it and the
/// changes that follow meanwhile. It limits the rate of writes and delays by as
/// much when callers see that a job has ended.
static constexpr absl::Duration CollectTime = absl::Milliseconds(30);
/// Delay before a failed transaction is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(150);
/// Maximum number of transactions in flight.
static constexpr size_t MaxWritesInFlight = 4;
/// Time without an answer after which the store is read to see whether a
/// transaction was applied, and interval of these reads. Longer than the
/// answers of a slow store take.
static constexpr absl::Duration ProbeInterval = absl::Milliseconds(300);
/// Transaction entries per written record: the put and its condition.
static constexpr size_t EntriesPerPut = 2;
/// Transaction entries per deleted job: the condition, or two conditions if
/// only two records are deleted, and the records.
static constexpr size_t EntriesPerRemoval = 4;
/// Maximum number of records other than progress in one transaction.
static constexpr size_t MaxExtraPuts = 4;

void ProgressWriter::requestWrite() {
  this->IsWriteRequested = true;
  this->scheduleFlush(CollectTime);
}

void ProgressWriter::requestPromptWrite() {
  this->IsWriteRequested = true;
  if (this->IsClosed || std::exchange(this->IsPromptRequested, true))
    return;
  this->Exec.post([Weak = this->weak_from_this()] {
    std::shared_ptr<ProgressWriter> Self = Weak.lock();
    if (Self && !Self->IsClosed && Self->IsPromptRequested)
      Self->flush();
  });
}

void ProgressWriter::putRecord(std::string Key, std::string Value,
                               std::function<void()> Done) {
  this->ExtraPuts.push_back(
      {std::move(Key), std::move(Value), std::move(Done)});
  this->requestWrite();
}

void ProgressWriter::removeJob(JobRemoval Removal) {
  this->Removals.push_back(std::move(Removal));
  this->requestWrite();
}

void ProgressWriter::scheduleFlush(absl::Duration Delay) {
  if (this->IsFlushScheduled || this->IsClosed)
    return;
  this->IsFlushScheduled = true;
  this->Exec.runAfter(Delay, [Weak = this->weak_from_this()] {
    std::shared_ptr<ProgressWriter> Self = Weak.lock();
    if (!Self || Self->IsClosed)
      return;
    Self->IsFlushScheduled = false;
    Self->flush();
  });
}

void ProgressWriter::noteRevision(const std::string &Key, int64_t Revision) {
  int64_t &Known = this->Revisions[Key];
  Known = std::max(Known, Revision);
}

void ProgressWriter::forgetRevision(const std::string &Key, int64_t DeletedAt) {
  auto Known = this->Revisions.find(Key);
  if (Known != this->Revisions.end() && Known->second < DeletedAt)
    this->Revisions.erase(Known);
}

int64_t ProgressWriter::knownRevision(const std::string &Key) const {
  auto Known = this->Revisions.find(Key);
  return Known == this->Revisions.end() ? 0 : Known->second;
}

void ProgressWriter::addPut(StoreTransaction &Transaction,
                            const std::string &Key, std::string Value) const {
  Transaction.Conditions.push_back({Key, this->knownRevision(Key)});
  Transaction.Puts.push_back({Key, std::move(Value), 0});
}

/// Adds the deletion of all records of a job. A leader that finds a job's
/// record alone can't tell what has become of the job, so they are never split.
void ProgressWriter::addRemoval(StoreTransaction &Transaction,
                                const JobRemoval &Removal) {
  std::string JobKey = RecordKeys::job(Removal.Id);
  std::string ProgressKey = RecordKeys::progress(Removal.Id);
  Transaction.Conditions.push_back({JobKey, Removal.JobRevision});
  if (!Removal.HasProgress)
    Transaction.Conditions.push_back({ProgressKey, 0});
  Transaction.Removes.push_back(std::move(JobKey));
  Transaction.Removes.push_back(RecordKeys::cancel(Removal.Id));
  if (Removal.HasProgress)
    Transaction.Removes.push_back(std::move(ProgressKey));
}

absl::flat_hash_set<JobId> ProgressWriter::jobsInFlight() const {
  absl::flat_hash_set<JobId> Jobs;
  for (const auto &[Id, Write] : this->InFlight)
    for (const ProgressChange &Change : Write.Sent.Changes)
      Jobs.insert(Change.Job);
  return Jobs;
}

bool ProgressWriter::isFull() const {
  return this->InFlight.size() >= MaxWritesInFlight;
}

void ProgressWriter::flush() {
  // The answer to one of the transactions in flight leads to the next flush.
  if (this->isFull())
    return;
  this->IsWriteRequested = false;
  this->IsPromptRequested = false;
  StoreTransaction Transaction;
  Transaction.Conditions.push_back(
      {std::string(RecordKeys::Leader), this->LeaderKeyRevision});
  PendingWrite Write;
  Write.SentUnder = this->LeaderKeyRevision;
  Batch &Sent = Write.Sent;
  bool AreOthersInFlight = std::any_of(
      this->InFlight.begin(), this->InFlight.end(),
      [](const auto &Entry) { return Entry.second.HasOtherRecords; });
  while (!AreOthersInFlight && !this->ExtraPuts.empty() &&
         Sent.Puts.size() < MaxExtraPuts) {
    ExtraPut &Next = this->ExtraPuts.front();
    this->addPut(Transaction, Next.Key, Next.Value);
    Sent.Puts.push_back(std::move(Next));
    this->ExtraPuts.erase(this->ExtraPuts.begin());
  }
  Sent.Changes = this->JobScheduler.takeChanges(
      (StoreTransaction::MaxEntries - Transaction.entryCount()) / EntriesPerPut,
      this->jobsInFlight());
  uint64_t Id = this->NextWrite++;
  for (const ProgressChange &Change : Sent.Changes) {
    std::string Key = RecordKeys::progress(Change.Job);
    std::string Value = this->markRecord(Change.Record, Id);
    if (Write.ProbeKey.empty()) {
      Write.ProbeKey = Key;
      Write.ProbeValue = Value;
    }
    this->addPut(Transaction, Key, std::move(Value));
  }
  while (!AreOthersInFlight && !this->Removals.empty() &&
         Transaction.entryCount() + EntriesPerRemoval <=
             StoreTransaction::MaxEntries) {
    JobRemoval &Next = this->Removals.front();
    addRemoval(Transaction, Next);
    Sent.Removals.push_back(std::move(Next));
    this->Removals.pop_front();
  }
  // A transaction that would be empty shows that all changes are recorded or in
  // flight.
  bool IsEmpty = Transaction.entryCount() == 1;
  if (!IsEmpty) {
    Write.HasOtherRecords = !Sent.Puts.empty() || !Sent.Removals.empty();
    this->InFlight.emplace(Id, std::move(Write));
  }
  this->noteEnds();
  if (!IsEmpty)
    this->send(std::move(Transaction), Id);
}

static std::string termMark(int64_t Term) {
  return fmt::format(R"(,"write":"{}.)", Term);
}

/// Adds a field to a record that no other transaction writes.
std::string ProgressWriter::markRecord(std::string Record, uint64_t Id) const {
  Record.insert(Record.size() - 1,
                fmt::format(R"({}{}")", termMark(this->Term), Id));
  return Record;
}

bool ProgressWriter::isOwnRecord(const StoreItem &Item) const {
  return absl::StrContains(Item.Value, termMark(this->Term));
}

/// Notes that the ends processed so far are recorded once all transactions in
/// flight are applied, unless changes are left that none of them holds.
void ProgressWriter::noteEnds() {
  if (this->JobScheduler.hasChanges())
    return;
  uint64_t Last = this->InFlight.empty() ? 0 : this->InFlight.rbegin()->first;
  this->PendingEnds[Last] = this->OwnerRef.processedEnds();
  this->releaseEnds();
}

/// Reports the ends whose transactions have all been applied.
void ProgressWriter::releaseEnds() {
  while (!this->PendingEnds.empty()) {
    auto First = this->PendingEnds.begin();
    bool IsWaiting = !this->InFlight.empty() &&
                     this->InFlight.begin()->first <= First->first;
    if (IsWaiting)
      return;
    RunEndCursors Ends = std::move(First->second);
    this->PendingEnds.erase(First);
    this->OwnerRef.endsRecorded(Ends);
  }
}

void ProgressWriter::send(StoreTransaction Transaction, uint64_t Id) {
  bool CanProbe = !this->InFlight.at(Id).ProbeKey.empty();
  this->Store.commit(
      std::move(Transaction),
      [Weak = this->weak_from_this(), Id](absl::StatusOr<StoreCommit> Result) {
        std::shared_ptr<ProgressWriter> Self = Weak.lock();
        if (Self && !Self->IsClosed)
          Self->commitAnswered(Result, Id);
      });
  if (CanProbe)
    this->probeLater(Id);
}

/// Reads a record of the transaction after ProbeInterval if it is still
/// unanswered then.
void ProgressWriter::probeLater(uint64_t Id) {
  this->Exec.runAfter(ProbeInterval, [Weak = this->weak_from_this(), Id] {
    std::shared_ptr<ProgressWriter> Self = Weak.lock();
    if (!Self || Self->IsClosed)
      return;
    auto Found = Self->InFlight.find(Id);
    if (Found == Self->InFlight.end())
      return;
    Self->Store.get(
        Found->second.ProbeKey,
        [Weak, Id](const absl::StatusOr<std::optional<StoreItem>> &Result) {
          std::shared_ptr<ProgressWriter> Again = Weak.lock();
          if (Again && !Again->IsClosed)
            Again->probeAnswered(Id, Result);
        });
  });
}

void ProgressWriter::probeAnswered(
    uint64_t Id, const absl::StatusOr<std::optional<StoreItem>> &Result) {
  auto Found = this->InFlight.find(Id);
  if (Found == this->InFlight.end())
    return;
  bool IsApplied = Result.ok() && Result->has_value() &&
                   (*Result)->Value == Found->second.ProbeValue;
  if (!IsApplied)
    return this->probeLater(Id);
  this->Events.info("leader", "an unanswered write was applied",
                    {{"records", Found->second.Sent.Changes.size()}});
  int64_t Revision = (*Result)->Revision;
  Batch Sent = std::move(Found->second.Sent);
  this->InFlight.erase(Found);
  this->commitSucceeded(Revision, Sent);
}

void ProgressWriter::commitAnswered(const absl::StatusOr<StoreCommit> &Result,
                                    uint64_t Id) {
  auto Found = this->InFlight.find(Id);
  // A read has shown before that it was applied.
  if (Found == this->InFlight.end())
    return;
  int64_t SentUnder = Found->second.SentUnder;
  Batch Sent = std::move(Found->second.Sent);
  this->InFlight.erase(Found);
  if (Result.ok() && Result->IsApplied)
    return this->commitSucceeded(Result->Revision, Sent);
  // Its changes have to be written again, after the ends noted with them.
  this->PendingEnds.erase(this->PendingEnds.lower_bound(Id),
                          this->PendingEnds.end());
  absl::Duration Delay = absl::ZeroDuration();
  if (Result.ok()) {
    bool IsLeader = false;
    for (const StoreItem &Item : Result->Found)
      IsLeader |= Item.Key == RecordKeys::Leader && Item.Revision == SentUnder;
    if (IsLeader) {
      if (!this->adoptRevisions(Result->Found, Sent))
        return this->OwnerRef.recordsDiffer();
      this->dropOutdatedRemovals(Result->Found, Sent);
    } else {
      if (SentUnder == this->LeaderKeyRevision)
        this->OwnerRef.leaderKeyMissing();
      Delay = RetryDelay;
    }
  } else {
    this->Events.warning("leader", "progress records could not be written",
                         {{"records", Sent.Changes.size()},
                          {"deletions", Sent.Removals.size()},
                          {"error", Result.status()}});
    Delay = RetryDelay;
  }
  this->requeue(std::move(Sent));
  this->scheduleFlush(Delay);
}

/// Adopts the revisions found in the store. They differ from the known ones if
/// the store applied an earlier write but its answer was lost.
/// \returns false if a progress record was written by another writer or is
/// gone,
///          so that this leader doesn't know the progress of the job.
bool ProgressWriter::adoptRevisions(const std::vector<StoreItem> &Found,
                                    const Batch &Sent) {
  this->Events.info("leader", "records do not have the expected revisions",
                    {{"records", Sent.Changes.size()}});
  absl::flat_hash_map<std::string_view, const StoreItem *> FoundByKey;
  for (const StoreItem &Item : Found)
    FoundByKey.emplace(Item.Key, &Item);
  bool IsEachKnown = true;
  for (const ProgressChange &Change : Sent.Changes) {
    std::string Key = RecordKeys::progress(Change.Job);
    auto Item = FoundByKey.find(Key);
    int64_t Revision = Item == FoundByKey.end() ? 0 : Item->second->Revision;
    if (Revision == this->knownRevision(Key))
      continue;
    if (Revision != 0 && this->isOwnRecord(*Item->second)) {
      this->Revisions[Key] = Revision;
      continue;
    }
    IsEachKnown = false;
    this->Events.error("leader", "progress record is not the one that was read",
                       {{"job", Change.Job},
                        {"expected", this->knownRevision(Key)},
                        {"found", Revision}});
  }
  for (const ExtraPut &Put : Sent.Puts) {
    auto Item = FoundByKey.find(Put.Key);
    if (Item == FoundByKey.end())
      this->Revisions.erase(Put.Key);
    else
      this->Revisions[Put.Key] = Item->second->Revision;
  }
  return IsEachKnown;
}

/// Drops the deletions whose records are not those that the deletion was
/// decided from: it was applied before, but its answer was lost, and the id may
/// be that of another job since.
void ProgressWriter::dropOutdatedRemovals(const std::vector<StoreItem> &Found,
                                          Batch &Sent) {
  std::erase_if(Sent.Removals, [&](const JobRemoval &Removal) {
    bool IsRecordFound = false;
    bool IsProgressFound = false;
    for (const StoreItem &Item : Found) {
      IsRecordFound |= Item.Key == RecordKeys::job(Removal.Id) &&
                       Item.Revision == Removal.JobRevision;
      IsProgressFound |= Item.Key == RecordKeys::progress(Removal.Id);
    }
    bool IsOutdated =
        !IsRecordFound || (IsProgressFound && !Removal.HasProgress);
    if (IsOutdated)
      this->Events.info("leader", "records of a job are not deleted",
                        {{"job", Removal.Id},
                         {"revision", Removal.JobRevision},
                         {"record", IsRecordFound ? "unchanged" : "gone"}});
    return IsOutdated;
  });
}

void ProgressWriter::requeue(Batch Sent) {
  for (const ProgressChange &Change : Sent.Changes)
    this->JobScheduler.progressWriteFailed(Change.Job);
  std::move(this->ExtraPuts.begin(), this->ExtraPuts.end(),
            std::back_inserter(Sent.Puts));
  this->ExtraPuts = std::move(Sent.Puts);
  this->Removals.insert(this->Removals.begin(),
                        std::make_move_iterator(Sent.Removals.begin()),
                        std::make_move_iterator(Sent.Removals.end()));
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
  this->releaseEnds();
  this->OwnerRef.transactionWritten();
  if (this->IsPromptRequested ||
      this->JobScheduler.hasUnrecordedUrgentPlacements())
    this->flush();
  else if (this->IsWriteRequested || this->JobScheduler.hasChanges() ||
           !this->ExtraPuts.empty() || !this->Removals.empty())
    this->scheduleFlush(CollectTime);
}

} // namespace vanillayard
