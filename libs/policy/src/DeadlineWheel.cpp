#include "DeadlineWheel.h"

#include <algorithm>

namespace vanillayard {

static constexpr int64_t TickMs = 50;
// 1024 ticks are 51 s. Most deadlines are shorter, so the search visits most
// entries once.
static constexpr int64_t BucketCount = 1024;

// Returns the first tick at which the deadline has passed.
static int64_t tickAfter(absl::Time Deadline) {
  if (Deadline == absl::InfiniteFuture())
    return INT64_MAX;
  return absl::ToUnixMillis(Deadline) / TickMs + 1;
}

DeadlineWheel::DeadlineWheel()
    : Buckets(static_cast<size_t>(BucketCount), None) {}

void DeadlineWheel::add(uint32_t Entry, absl::Time Deadline) {
  if (this->Links.size() <= Entry)
    this->Links.resize(static_cast<size_t>(Entry) + 1);
  Link &New = this->Links[Entry];
  New = Link();
  New.DueTick = tickAfter(Deadline);
  if (New.DueTick == INT64_MAX)
    return;
  // An entry whose deadline has already passed goes into the bucket that is
  // being searched.
  int64_t Tick = std::max(New.DueTick, this->Cursor);
  New.Bucket = static_cast<uint32_t>(Tick % BucketCount);
  uint32_t &Head = this->Buckets[New.Bucket];
  New.Next = Head;
  if (Head != None)
    this->Links[Head].Previous = Entry;
  Head = Entry;
  if (Tick == this->Cursor)
    this->NextCandidate = Head;
}

void DeadlineWheel::remove(uint32_t Entry) {
  Link &Old = this->Links[Entry];
  if (Old.Bucket == None)
    return;
  if (this->NextCandidate == Entry)
    this->NextCandidate = Old.Next;
  if (Old.Previous != None)
    this->Links[Old.Previous].Next = Old.Next;
  else
    this->Buckets[Old.Bucket] = Old.Next;
  if (Old.Next != None)
    this->Links[Old.Next].Previous = Old.Previous;
  Old = Link();
}

uint32_t DeadlineWheel::findExpired(absl::Time Now) {
  int64_t NowTick = absl::ToUnixMillis(Now) / TickMs;
  if (this->Cursor < NowTick - BucketCount) {
    this->Cursor = NowTick - BucketCount + 1;
    this->NextCandidate =
        this->Buckets[static_cast<size_t>(this->Cursor % BucketCount)];
  }
  while (this->Cursor <= NowTick) {
    for (; this->NextCandidate != None;
         this->NextCandidate = this->Links[this->NextCandidate].Next)
      if (this->Links[this->NextCandidate].DueTick <= NowTick)
        return this->NextCandidate;
    if (this->Cursor == NowTick)
      break;
    ++this->Cursor;
    this->NextCandidate =
        this->Buckets[static_cast<size_t>(this->Cursor % BucketCount)];
  }
  return None;
}

} // namespace vanillayard
