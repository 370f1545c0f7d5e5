#ifndef VANILLAYARD_JOBS_JOBQUEUE_H
#define VANILLAYARD_JOBS_JOBQUEUE_H

#include "base/Ids.h"

#include <algorithm>
#include <cstddef>
#include <list>
#include <map>
#include <vector>

namespace vanillayard {

struct PlannedJob;

/// Queued jobs, with weighted fair sharing between client accounts. The jobs of
/// an account are in order of submission. Removal takes constant time.
class JobQueue {
public:
  void setWeight(const ClientAccountId &Account, double Weight);
  void push(PlannedJob &Job);
  void remove(PlannedJob &Job);
  size_t size() const { return this->Count; }
  void clear();

  /// Charges the account for the start of a job.
  /// \param Cost in accelerator-seconds.
  void charge(const ClientAccountId &Account, double Cost);

  /// Sets \p Out to the first \p Limit jobs in the order in which they are to
  /// be tried, as if each one started. \p CostOf returns the cost of a job in
  /// accelerator-seconds.
  template <typename Cost>
  void collectInFairOrder(size_t Limit, Cost CostOf,
                          std::vector<PlannedJob *> &Out);

private:
  struct AccountQueue {
    double Weight = 1;
    /// Accelerator-seconds charged so far, divided by the weight.
    double NormalizedUsage = 0;
    std::list<PlannedJob *> Jobs;
  };
  struct HeapEntry {
    double NormalizedUsage;
    AccountQueue *Queue;
    std::list<PlannedJob *>::iterator Next;

    /// Inverted, so that the account with the least usage is on top of the
    /// heap.
    friend bool operator<(const HeapEntry &A, const HeapEntry &B) {
      return A.NormalizedUsage > B.NormalizedUsage;
    }
  };

  double minUsage() const;

  std::map<ClientAccountId, AccountQueue> AccountQueues;
  size_t Count = 0;
};

template <typename Cost>
void JobQueue::collectInFairOrder(size_t Limit, Cost CostOf,
                                  std::vector<PlannedJob *> &Out) {
  Out.clear();
  std::vector<HeapEntry> Heap;
  for (auto &[Account, Queue] : this->AccountQueues)
    if (!Queue.Jobs.empty())
      Heap.push_back({Queue.NormalizedUsage, &Queue, Queue.Jobs.begin()});
  std::make_heap(Heap.begin(), Heap.end());
  while (!Heap.empty() && Out.size() < Limit) {
    std::pop_heap(Heap.begin(), Heap.end());
    HeapEntry &Last = Heap.back();
    PlannedJob *Job = *Last.Next++;
    Out.push_back(Job);
    Last.NormalizedUsage += CostOf(*Job) / Last.Queue->Weight;
    if (Last.Next == Last.Queue->Jobs.end())
      Heap.pop_back();
    else
      std::push_heap(Heap.begin(), Heap.end());
  }
}

} // namespace vanillayard

#endif
