#include "JobQueue.h"

#include "PlannedJob.h"

#include <limits>

namespace vanillayard {

void JobQueue::setWeight(const ClientAccountId &Account, double Weight) {
  this->AccountQueues[Account].Weight = Weight > 0 ? Weight : 1;
}

double JobQueue::minUsage() const {
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Account, Queue] : this->AccountQueues)
    if (!Queue.Jobs.empty())
      Least = std::min(Least, Queue.NormalizedUsage);
  return Least;
}

void JobQueue::push(PlannedJob &Job) {
  AccountQueue &Queue = this->AccountQueues[Job.Record.Spec.Account];
  // An idle account earns no credit: its usage is raised to the least among
  // the accounts with queued jobs.
  if (Queue.Jobs.empty())
    if (double Least = this->minUsage();
        Least < std::numeric_limits<double>::infinity())
      Queue.NormalizedUsage = std::max(Queue.NormalizedUsage, Least);
  auto At = Queue.Jobs.end();
  while (At != Queue.Jobs.begin() &&
         (*std::prev(At))->Record.Submitted > Job.Record.Submitted)
    --At;
  Job.QueuePosition = Queue.Jobs.insert(At, &Job);
  Job.InQueue = true;
  ++this->Count;
}

void JobQueue::remove(PlannedJob &Job) {
  if (!Job.InQueue)
    return;
  this->AccountQueues[Job.Record.Spec.Account].Jobs.erase(Job.QueuePosition);
  Job.InQueue = false;
  --this->Count;
}

void JobQueue::clear() {
  for (auto &[Account, Queue] : this->AccountQueues) {
    for (PlannedJob *Job : Queue.Jobs)
      Job->InQueue = false;
    Queue.Jobs.clear();
  }
  this->Count = 0;
}

void JobQueue::charge(const ClientAccountId &Account, double Cost) {
  AccountQueue &Queue = this->AccountQueues[Account];
  Queue.NormalizedUsage += Cost / Queue.Weight;
}

} // namespace vanillayard
