#include "DeadlineWheel.h"

#include <algorithm>

namespace vanillayard {

static constexpr int64_t TickMs = 50;
// 1024 ticks are 51 s: most deadlines are visited once.
static constexpr int64_t BucketCount = 1024;

// The first tick at which the deadline has passed.
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
  // A deadline that has already passed goes where the search is.
  int64_t Tick = std::max(New.DueTick, this->Cursor);
  New.Bucket = static_cast<uint32_t>(Tick % BucketCount);
  uint32_t &Head = this->Buckets[New.Bucket];
  New.Next = Head;
  if (Head != None)
    this->Links[Head].Previous = Entry;
  Head = Entry;
  if (Tick == this->Cursor)
    this->Resume = Head;
}

void DeadlineWheel::remove(uint32_t Entry) {
  Link &Old = this->Links[Entry];
  if (Old.Bucket == None)
    return;
  if (this->Resume == Entry)
    this->Resume = Old.Next;
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
    this->Resume =
        this->Buckets[static_cast<size_t>(this->Cursor % BucketCount)];
  }
  while (this->Cursor <= NowTick) {
    for (; this->Resume != None; this->Resume = this->Links[this->Resume].Next)
      if (this->Links[this->Resume].DueTick <= NowTick)
        return this->Resume;
    if (this->Cursor == NowTick)
      break;
    ++this->Cursor;
    this->Resume =
        this->Buckets[static_cast<size_t>(this->Cursor % BucketCount)];
  }
  return None;
}

} // namespace vanillayard
