#include "JobQueue.h"

#include "PlannedJob.h"

#include <limits>

namespace vanillayard {

void JobQueue::setWeight(const ClientAccountId &Account, double Weight) {
  this->Shares[Account].Weight = Weight > 0 ? Weight : 1;
}

double JobQueue::leastUsed() const {
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Account, Owner] : this->Shares)
    if (!Owner.Jobs.empty())
      Least = std::min(Least, Owner.Used);
  return Least;
}

void JobQueue::push(PlannedJob &Job) {
  Share &Owner = this->Shares[Job.Record.Spec.Account];
  // An account that was idle has saved nothing up.
  if (Owner.Jobs.empty())
    if (double Least = this->leastUsed();
        Least < std::numeric_limits<double>::infinity())
      Owner.Used = std::max(Owner.Used, Least);
  auto At = Owner.Jobs.end();
  while (At != Owner.Jobs.begin() &&
         (*std::prev(At))->Record.Submitted > Job.Record.Submitted)
    --At;
  Job.QueuePosition = Owner.Jobs.insert(At, &Job);
  Job.InQueue = true;
  ++this->Count;
}

void JobQueue::remove(PlannedJob &Job) {
  if (!Job.InQueue)
    return;
  this->Shares[Job.Record.Spec.Account].Jobs.erase(Job.QueuePosition);
  Job.InQueue = false;
  --this->Count;
}

void JobQueue::clear() {
  for (auto &[Account, Owner] : this->Shares) {
    for (PlannedJob *Job : Owner.Jobs)
      Job->InQueue = false;
    Owner.Jobs.clear();
  }
  this->Count = 0;
}

void JobQueue::charge(const ClientAccountId &Account, double Cost) {
  Share &Owner = this->Shares[Account];
  Owner.Used += Cost / Owner.Weight;
}

} // namespace vanillayard
