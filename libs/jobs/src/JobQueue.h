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

/// The waiting jobs, with weighted fair shares between client accounts. Each
/// account's jobs are in order of submission. Removal takes constant time.
class JobQueue {
public:
  void setWeight(const ClientAccountId &Account, double Weight);
  void push(PlannedJob &Job);
  void remove(PlannedJob &Job);
  size_t size() const { return this->Count; }
  void clear();

  /// Counts the start of a job of \p Cost accelerator-seconds.
  void charge(const ClientAccountId &Account, double Cost);

  /// The first \p Limit jobs in the order in which they are to be tried, as
  /// if each one started. \p CostOf gives the accelerator-seconds of a job.
  template <typename Cost>
  void order(size_t Limit, Cost CostOf, std::vector<PlannedJob *> &Out);

private:
  struct Share {
    double Weight = 1;
    /// Accelerator-seconds over weight.
    double Used = 0;
    std::list<PlannedJob *> Jobs;
  };
  struct Turn {
    double Used;
    Share *Owner;
    std::list<PlannedJob *>::iterator Next;

    /// Inverted for a heap with the least used account on top.
    friend bool operator<(const Turn &A, const Turn &B) {
      return A.Used > B.Used;
    }
  };

  double leastUsed() const;

  std::map<ClientAccountId, Share> Shares;
  size_t Count = 0;
};

template <typename Cost>
void JobQueue::order(size_t Limit, Cost CostOf,
                     std::vector<PlannedJob *> &Out) {
  Out.clear();
  std::vector<Turn> Heap;
  for (auto &[Account, Owner] : this->Shares)
    if (!Owner.Jobs.empty())
      Heap.push_back({Owner.Used, &Owner, Owner.Jobs.begin()});
  std::make_heap(Heap.begin(), Heap.end());
  while (!Heap.empty() && Out.size() < Limit) {
    std::pop_heap(Heap.begin(), Heap.end());
    Turn &Last = Heap.back();
    PlannedJob *Job = *Last.Next++;
    Out.push_back(Job);
    Last.Used += CostOf(*Job) / Last.Owner->Weight;
    if (Last.Next == Last.Owner->Jobs.end())
      Heap.pop_back();
    else
      std::push_heap(Heap.begin(), Heap.end());
  }
}

} // namespace vanillayard

#endif
