#include "FifoQueue.h"

#include "FairQueue.h"
#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

static constexpr absl::Duration MinRetryAfter = absl::Milliseconds(100);

std::unique_ptr<AdmissionQueue> AdmissionQueue::create(QueueOrder Order,
                                                       QueueSettings Settings) {
  if (Order == QueueOrder::Fifo)
    return std::make_unique<FifoQueue>(std::move(Settings));
  return std::make_unique<FairQueue>(std::move(Settings));
}

FifoQueue::FifoQueue(QueueSettings Settings) : Settings(std::move(Settings)) {}

void FifoQueue::configure(QueueSettings NewSettings) {
  this->Settings = std::move(NewSettings);
}

absl::StatusOr<AdmissionQueue::Handle> FifoQueue::push(const QueueItem &Item,
                                                       absl::Time Now) {
  if (this->Settings.kind(Item.Kind).Deferrable &&
      !this->Settings.AdmitDeferrable)
    return makeError(ErrorKind::NoCapacity,
                     "the preset in force does not admit deferrable work");
  if (this->Count >= this->Settings.MaxQueued)
    return makeError(ErrorKind::QueueFull, "the queue is full",
                     std::max(MinRetryAfter, this->Rate.timeToServe(1, Now)));
  absl::Duration Excess =
      this->estimatedWait(Item, Now) - (Item.Deadline - Now);
  if (this->Settings.RefuseEarly && Excess > absl::ZeroDuration())
    return makeError(
        ErrorKind::DeadlineUnreachable,
        "the expected waiting time exceeds the time until the deadline",
        std::max(MinRetryAfter, Excess));
  if (this->FreeEntries.empty()) {
    this->FreeEntries.push_back(static_cast<uint32_t>(this->Entries.size()));
    this->Entries.emplace_back();
  }
  uint32_t Index = this->FreeEntries.back();
  this->FreeEntries.pop_back();
  Entry &New = this->Entries[Index];
  New.Previous = this->Tail;
  New.Next = None;
  New.Queued = true;
  New.Token = Item.Token;
  New.Deadline = Item.Deadline;
  New.Kind = Item.Kind;
  (this->Tail == None ? this->Head : this->Entries[this->Tail].Next) = Index;
  this->Tail = Index;
  ++this->Count;
  ++this->CountByKind[Item.Kind];
  this->Rate.onPush(Now, this->Count);
  this->Deadlines.add(Index, Item.Deadline);
  return (static_cast<uint64_t>(New.Generation) << 32) | Index;
}

void FifoQueue::unlinkEntry(uint32_t Index) {
  Entry &Old = this->Entries[Index];
  (Old.Previous == None ? this->Head : this->Entries[Old.Previous].Next) =
      Old.Next;
  (Old.Next == None ? this->Tail : this->Entries[Old.Next].Previous) =
      Old.Previous;
  --this->Count;
  --this->CountByKind[Old.Kind];
  this->Deadlines.remove(Index);
  ++Old.Generation;
  Old.Queued = false;
  this->FreeEntries.push_back(Index);
}

bool FifoQueue::cancel(Handle Item) {
  auto Index = static_cast<uint32_t>(Item);
  if (Index >= this->Entries.size() || !this->Entries[Index].Queued ||
      this->Entries[Index].Generation != Item >> 32)
    return false;
  this->unlinkEntry(Index);
  return true;
}

std::optional<AdmissionQueue::PoppedItem> FifoQueue::pop(absl::Time Now,
                                                         bool /*UrgentOnly*/) {
  if (this->Head == None)
    return std::nullopt;
  uint32_t Index = this->Head;
  PoppedItem Result = {this->Entries[Index].Token,
                       this->Entries[Index].Deadline <= Now};
  this->unlinkEntry(Index);
  if (Result.Expired)
    this->Rate.onRemove(Now, this->Count);
  else
    this->Rate.onPop(Now, this->Count);
  return Result;
}

std::optional<uint64_t> FifoQueue::popExpired(absl::Time Now) {
  uint32_t Index = this->Deadlines.findExpired(Now);
  if (Index == DeadlineWheel::None)
    return std::nullopt;
  uint64_t Token = this->Entries[Index].Token;
  this->unlinkEntry(Index);
  this->Rate.onRemove(Now, this->Count);
  return Token;
}

absl::Duration FifoQueue::estimatedWait(const QueueItem & /*Item*/,
                                        absl::Time Now) const {
  return this->Rate.timeToServe(static_cast<double>(this->Count), Now);
}

absl::Duration FifoQueue::drainTime(const KindOfWorkId & /*Kind*/,
                                    absl::Time Now) const {
  return this->Rate.timeToServe(static_cast<double>(this->Count), Now);
}

size_t FifoQueue::size(const KindOfWorkId &Kind) const {
  auto Found = this->CountByKind.find(Kind);
  return Found == this->CountByKind.end() ? 0 : Found->second;
}

} // namespace vanillayard
