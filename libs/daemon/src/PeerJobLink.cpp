#include "daemon/PeerJobLink.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "jobs/PlannerTask.h"
#include "peer/Membership.h"
#include "wire/Envelope.h"

#include <optional>

namespace vanillayard {

struct PeerJobLink::Query {
  JobId Id;
  std::vector<HostId> Left;
  Callback Done;
};

void PeerJobLink::notify(const JobChange &Change) {
  this->notifyOrRetry(Change, MaxRetries);
}

void PeerJobLink::retryLater(const JobChange &Change, int RetriesLeft) {
  if (RetriesLeft == 0)
    return;
  this->Exec.runAfter(
      RetryInterval,
      [this, Change, RetriesLeft, Guard = std::weak_ptr<bool>(this->Alive)] {
        if (!Guard.expired())
          this->notifyOrRetry(Change, RetriesLeft - 1);
      });
}

void PeerJobLink::notifyOrRetry(const JobChange &Change, int RetriesLeft) {
  if (Change.DataCentre == this->DataCentre && this->Planner.isPlanner()) {
    this->Planner.onJobChange(Change);
    return;
  }
  std::optional<HostId> To = this->Peers.planner(Change.DataCentre);
  if (!To || *To == this->Peers.self())
    return this->retryLater(Change, RetriesLeft);
  // A notice that is lost on the way delays the job until the planner lists
  // the records again.
  absl::Status Sent = isTerminal(Change.State)
                          ? this->Peers.send(*To, CancelNotice{Change.Job})
                          : this->Peers.send(*To, JobNotice{Change.Job, ""});
  if (!Sent.ok())
    this->retryLater(Change, RetriesLeft);
}

std::vector<HostId> PeerJobLink::remotePlanners() const {
  std::vector<HostId> Result;
  for (const DataCentreId &Id : this->Peers.dataCentres()) {
    std::optional<HostId> Host = this->Peers.planner(Id);
    if (Host && *Host != this->Peers.self())
      Result.push_back(*Host);
  }
  return Result;
}

void PeerJobLink::find(const JobId &Id, Callback Done) {
  if (const JobRecord *Known = this->Planner.find(Id)) {
    this->Exec.post(
        [Done = std::move(Done), Record = *Known] { Done(Record); });
    return;
  }
  auto State = std::make_shared<Query>();
  State->Id = Id;
  State->Left = this->remotePlanners();
  State->Done = std::move(Done);
  this->Exec.post([this, State] { this->ask(State); });
}

void PeerJobLink::ask(const std::shared_ptr<Query> &State) {
  if (State->Left.empty()) {
    State->Done(makeError(ErrorKind::NotFound, "no planner knows the job"));
    return;
  }
  HostId To = std::move(State->Left.back());
  State->Left.pop_back();
  this->Peers.request(
      To, JobQuery{State->Id}, QueryTimeout,
      [this, State](const absl::StatusOr<Envelope> &Reply) {
        const JobReply *Answer =
            Reply.ok() ? std::get_if<JobReply>(&Reply->Message) : nullptr;
        if (!Answer || Answer->Record.empty())
          return this->ask(State);
        absl::StatusOr<JobRecord> Record = JobRecord::decode(Answer->Record);
        if (!Record.ok() || Record->Id != State->Id)
          return this->ask(State);
        State->Done(*std::move(Record));
      });
}

} // namespace vanillayard
