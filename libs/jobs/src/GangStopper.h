#ifndef VANILLAYARD_JOBS_GANGSTOPPER_H
#define VANILLAYARD_JOBS_GANGSTOPPER_H

#include "base/Executor.h"
#include "endpoint/WorkerClient.h"
#include "jobs/JobRecord.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// What is known for certain about a member after it was stopped.
enum class MemberFact {
  /// The worker has not answered yet.
  Open,
  /// It did not run and never will under its lease.
  NeverStarted,
  Finished,
  Failed,
  /// It ran and was ended before its result.
  Ended,
  /// The worker has restarted and does not know.
  Forgotten,
};

/// Stops all members of a gang at once and finds out what became of each.
/// Calls without an answer are repeated until there is one.
class GangStopper {
public:
  struct Entry {
    MemberPlacement Place;
    MemberFact Fact = MemberFact::Open;
    std::string Result;
    /// Calls without an answer so far.
    int Silences = 0;
  };

  /// \param Changed called, never from inside start(), after a fact became
  ///        known or another planner was found.
  GangStopper(Executor &Exec, WorkerClient &Client, Epoch Holder,
              std::vector<MemberPlacement> Members,
              std::function<void()> Changed);
  ~GangStopper();

  void start();

  const std::vector<Entry> &entries() const { return this->Entries; }
  /// Whether a worker refused because of a higher epoch.
  bool isSuperseded() const { return this->Superseded; }
  bool isComplete() const;
  bool all(MemberFact Fact) const;
  bool any(MemberFact Fact) const;
  /// Gives up on members that have not answered.
  void closeOpen(MemberFact Fact);

private:
  static constexpr absl::Duration RetryInterval = absl::Seconds(1);

  void stop(size_t Index);
  void onStopped(size_t Index, const absl::StatusOr<LeaseReport> &Report);
  void revoke(size_t Index);
  void onRevoked(size_t Index, const absl::StatusOr<RevokeResult> &Result);
  void query(size_t Index);
  void onQueried(size_t Index, const absl::StatusOr<TaskResult> &Result);
  void retry(size_t Index);
  void settle(size_t Index, MemberFact Fact);
  template <typename Work> auto whileAlive(Work Then);

  Executor &Exec;
  WorkerClient &Client;
  Epoch Holder;
  std::vector<Entry> Entries;
  std::function<void()> Changed;
  bool Superseded = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
