#include "control/testing/FakeWorkerFarm.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace vanillayard {

void FakeWorkerFarm::addWorker(const WorkerRegistration &Registration) {
  Worker &W = this->Workers[Registration.Id];
  W.Registration = Registration;
  W.StartedAt = this->Exec.now();
  W.Registration.Incarnation = absl::ToUnixMillis(W.StartedAt);
}

void FakeWorkerFarm::setDraining(const WorkerId &Id, bool IsDraining) {
  this->Workers.at(Id).Registration.IsDraining = IsDraining;
}

void FakeWorkerFarm::setRegistered(const WorkerId &Id, bool IsRegistered) {
  this->Workers.at(Id).IsRegistered = IsRegistered;
}

/// Marks ends that were not acknowledged before a crash or the expiry of the
/// lease: they no longer count.
void FakeWorkerFarm::forgetEnds(const Worker &W) {
  for (const RunEnd &End : W.Ends)
    for (EndedRun &Ended : this->EndedRuns)
      if (Ended.Task == End.Task && Ended.Run == End.Run &&
          Ended.Worker == W.Registration.Id)
        Ended.IsForgotten = true;
}

void FakeWorkerFarm::restart(const WorkerId &Id) {
  Worker &W = this->Workers.at(Id);
  for (const auto &[Task, R] : W.Runs)
    this->EndedRuns.push_back(
        {Task, R.Number, Id, RunOutcome::LeaseExpired, this->Exec.now()});
  this->forgetEnds(W);
  // The crash breaks the connections of waiting calls.
  for (Worker::Poll &Poll : W.Polls)
    this->Exec.post([Done = std::move(Poll.Done)] {
      Done({OrderAnswer::Unknown, {}});
    });
  WorkerRegistration Registration = W.Registration;
  bool IsRegistered = W.IsRegistered;
  W = Worker();
  W.Registration = Registration;
  W.IsRegistered = IsRegistered;
  W.StartedAt = this->Exec.now();
  W.Registration.Incarnation =
      std::max(Registration.Incarnation + 1, absl::ToUnixMillis(W.StartedAt));
}

void FakeWorkerFarm::loseWaitingRenewals(const WorkerId &Id) {
  for (Worker::Poll &Poll : std::exchange(this->Workers.at(Id).Polls, {}))
    this->Exec.runAfter(absl::Seconds(1), [Done = std::move(Poll.Done)] {
      Done({OrderAnswer::Unknown, {}});
    });
}

size_t FakeWorkerFarm::runningCount() const {
  size_t Count = 0;
  for (const auto &[Id, W] : this->Workers)
    Count += W.Runs.size();
  return Count;
}

std::vector<TaskKey> FakeWorkerFarm::runningTasks() const {
  std::vector<TaskKey> Tasks;
  for (const auto &[Id, W] : this->Workers)
    for (const auto &[Task, R] : W.Runs)
      Tasks.push_back(Task);
  return Tasks;
}

int64_t FakeWorkerFarm::acknowledgedEnd(const WorkerId &Id) const {
  return this->Workers.at(Id).Acknowledged;
}

/// Delivers a call to the worker with the fault that Faults chooses. \p Apply
/// carries the call out and returns the function that answers; \p Fail answers
/// if the worker does not.
void FakeWorkerFarm::deliver(const std::string &Call, const WorkerId &Id,
                             absl::Duration Timeout,
                             std::function<Work()> Apply,
                             std::function<void(OrderAnswer)> Fail) {
  ++this->Calls[Call];
  Fault Kind = this->Faults ? this->Faults(Call, Id) : Fault::None;
  if (!this->Workers.contains(Id))
    Kind = Fault::Unreachable;
  // A call is bound to its connection, which a crash of the worker ends.
  int64_t ExpectedIncarnation =
      Kind == Fault::Unreachable
          ? 0
          : this->Workers.at(Id).Registration.Incarnation;
  auto IsSameIncarnation = [this, Id, ExpectedIncarnation] {
    return this->Workers.at(Id).Registration.Incarnation == ExpectedIncarnation;
  };
  auto ApplyWithoutAnswer = [IsSameIncarnation, Apply] {
    if (IsSameIncarnation())
      (void)Apply();
  };
  switch (Kind) {
  case Fault::None:
    this->Exec.runAfter(this->Latency / 2,
                        [this, IsSameIncarnation, Apply, Fail] {
                          if (IsSameIncarnation())
                            this->Exec.runAfter(this->Latency / 2, Apply());
                          else
                            Fail(OrderAnswer::Unknown);
                        });
    return;
  case Fault::Unreachable:
    this->Exec.runAfter(this->Latency, [Fail = std::move(Fail)] {
      Fail(OrderAnswer::Unavailable);
    });
    return;
  case Fault::LoseAnswer:
    this->Exec.runAfter(this->Latency / 2, ApplyWithoutAnswer);
    break;
  case Fault::ApplyLate:
    this->Exec.runAfter(this->LateBy, ApplyWithoutAnswer);
    break;
  case Fault::Drop:
    break;
  case Fault::DelayAnswer:
    this->Exec.runAfter(this->Latency / 2, [this, Apply] {
      this->Exec.runAfter(this->LateBy, Apply());
    });
    return;
  case Fault::Delay:
    if (this->LateBy + this->Latency / 2 < Timeout) {
      this->Exec.runAfter(this->LateBy, [this, Apply] {
        this->Exec.runAfter(this->Latency / 2, Apply());
      });
      return;
    }
    this->Exec.runAfter(this->LateBy, [Apply] { (void)Apply(); });
    break;
  }
  this->Exec.runAfter(Timeout,
                      [Fail = std::move(Fail)] { Fail(OrderAnswer::Unknown); });
}

WorkerReport FakeWorkerFarm::report(const Worker &W) const {
  WorkerReport Out;
  Out.Incarnation = W.Registration.Incarnation;
  Out.Clock = this->clock(W);
  for (const auto &[Task, R] : W.Runs)
    Out.Running.push_back({Task, R.Number, ""});
  Out.Ends = W.Ends;
  return Out;
}

void FakeWorkerFarm::answerPolls(Worker &W) {
  if (W.Ends.empty())
    return;
  std::vector<Worker::Poll> Polls = std::exchange(W.Polls, {});
  for (Worker::Poll &Poll : Polls)
    this->Exec.runAfter(this->Latency / 2,
                        [Done = std::move(Poll.Done),
                         Reply = RenewReply{OrderAnswer::Accepted,
                                            this->report(W)}] { Done(Reply); });
}

void FakeWorkerFarm::endRun(Worker &W, const TaskKey &Task,
                            RunOutcome Outcome) {
  auto Found = W.Runs.find(Task);
  int64_t Number = Found->second.Number;
  W.Runs.erase(Found);
  int64_t &Refused = W.Refused[Task];
  Refused = std::max(Refused, Number);
  W.Ends.push_back({W.NextEnd++, Task, Number, Outcome, ""});
  this->EndedRuns.push_back(
      {Task, Number, W.Registration.Id, Outcome, this->Exec.now()});
  this->answerPolls(W);
}

void FakeWorkerFarm::scheduleEnd(const WorkerId &Id, const TaskKey &Task,
                                 int64_t Number, absl::Duration After,
                                 RunOutcome Outcome) {
  int64_t ExpectedIncarnation = this->Workers.at(Id).Registration.Incarnation;
  this->Exec.runAfter(
      After, [this, Id, Task, Number, Outcome, ExpectedIncarnation] {
        Worker &W = this->Workers.at(Id);
        auto Found = W.Runs.find(Task);
        if (W.Registration.Incarnation != ExpectedIncarnation ||
            Found == W.Runs.end() || Found->second.Number != Number)
          return;
        int GangSize = this->GangSizes ? this->GangSizes(Task) : 1;
        if (GangSize > 1 && Outcome != RunOutcome::GangIncomplete)
          return this->endGang(Task, Number, Outcome);
        this->endRun(W, Task, Outcome);
      });
}

/// Ends all members of the gang: with \p Outcome if it is Done, else \p Task's
/// run with \p Outcome and the others as GangMemberEnded.
void FakeWorkerFarm::endGang(const TaskKey &Task, int64_t Number,
                             RunOutcome Outcome) {
  TaskKey Key = Task;
  for (Key.Index = 0; Key.Index < this->GangSizes(Task); ++Key.Index)
    for (auto &[Id, W] : this->Workers) {
      auto Found = W.Runs.find(Key);
      if (Found == W.Runs.end() || Found->second.Number != Number)
        continue;
      bool IsCause = Key == Task || Outcome == RunOutcome::Done;
      this->endRun(W, Key, IsCause ? Outcome : RunOutcome::GangMemberEnded);
    }
}

void FakeWorkerFarm::startGangIfComplete(const TaskKey &Task, int64_t Number) {
  int Size = this->GangSizes(Task);
  int Present = 0;
  TaskKey Key = Task;
  for (Key.Index = 0; Key.Index < Size; ++Key.Index)
    for (auto &[Id, W] : this->Workers) {
      auto Found = W.Runs.find(Key);
      if (Found != W.Runs.end() && Found->second.Number == Number)
        ++Present;
    }
  if (Present < Size)
    return;
  absl::Duration Time =
      this->Durations ? this->Durations(Task) : absl::Seconds(1);
  Key.Index = 0;
  for (auto &[Id, W] : this->Workers) {
    auto Found = W.Runs.find(Key);
    if (Found == W.Runs.end())
      continue;
    RunOutcome Outcome =
        this->Outcomes ? this->Outcomes(Key, Id) : RunOutcome::Done;
    this->scheduleEnd(Id, Key, Number, Time, Outcome);
  }
}

void FakeWorkerFarm::extendLease(Worker &W, absl::Duration LeaseUntil) {
  absl::Time Ends =
      std::min(W.StartedAt + LeaseUntil / this->ClockRate,
               this->Exec.now() + this->MaxLease / this->ClockRate);
  W.LeaseEnds = std::max(W.LeaseEnds, Ends);
  this->scheduleLeaseExpiry(W.Registration.Id);
}

void FakeWorkerFarm::scheduleLeaseExpiry(const WorkerId &Id) {
  int64_t ExpectedIncarnation = this->Workers.at(Id).Registration.Incarnation;
  this->Exec.runAfter(this->Workers.at(Id).LeaseEnds - this->Exec.now(),
                      [this, Id, ExpectedIncarnation] {
                        Worker &W = this->Workers.at(Id);
                        if (W.Registration.Incarnation != ExpectedIncarnation ||
                            W.LeaseEnds > this->Exec.now())
                          return;
                        this->forgetEnds(W);
                        while (!W.Runs.empty())
                          this->endRun(W, TaskKey(W.Runs.begin()->first),
                                       RunOutcome::LeaseExpired);
                      });
}

void FakeWorkerFarm::renew(const WorkerTarget &Target, const Renewal &Request,
                           absl::Duration Timeout, RenewCallback Done) {
  WorkerId Id = Target.Id;
  this->deliver(
      "renew", Id, Timeout,
      [this, Id, Request, Done]() -> Work {
        Worker &W = this->Workers.at(Id);
        if (Request.Fence < W.Fence)
          return [Done] { Done({OrderAnswer::Fenced, {}}); };
        W.Fence = Request.Fence;
        if (Request.LeaseUntil > absl::ZeroDuration())
          this->extendLease(W, Request.LeaseUntil);
        W.Acknowledged = std::max(W.Acknowledged, Request.AcknowledgedEnd);
        std::erase_if(W.Ends, [&](const RunEnd &End) {
          return End.Sequence <= Request.AcknowledgedEnd;
        });
        if (!W.Ends.empty() || Request.Wait <= absl::ZeroDuration()) {
          RenewReply Reply{OrderAnswer::Accepted, this->report(W)};
          return [Done, Reply] { Done(Reply); };
        }
        uint64_t Poll = this->NextPoll++;
        W.Polls.push_back({Done, Poll});
        this->Exec.runAfter(Request.Wait, [this, Id, Poll] {
          Worker &Later = this->Workers.at(Id);
          for (size_t I = 0; I < Later.Polls.size(); ++I) {
            if (Later.Polls[I].Id != Poll)
              continue;
            RenewCallback Answer = std::move(Later.Polls[I].Done);
            Later.Polls.erase(Later.Polls.begin() + static_cast<ptrdiff_t>(I));
            return Answer({OrderAnswer::Accepted, this->report(Later)});
          }
        });
        return [] {};
      },
      [Done](OrderAnswer Answer) {
        Done({Answer, {}});
      });
}

void FakeWorkerFarm::start(const WorkerTarget &Target, const StartOrder &Order,
                           int64_t Fence, absl::Duration LeaseUntil,
                           absl::Duration Timeout, OrderCallback Done) {
  WorkerId Id = Target.Id;
  this->deliver(
      "start", Id, Timeout,
      [this, Id, Order, Fence, LeaseUntil, Done]() -> Work {
        Worker &W = this->Workers.at(Id);
        auto Answer = [this, Done, &W](OrderAnswer Kind) -> Work {
          OrderReply Reply{Kind, this->clock(W)};
          return [Done, Reply] { Done(Reply); };
        };
        if (Fence < W.Fence)
          return Answer(OrderAnswer::Fenced);
        W.Fence = Fence;
        if (this->clock(W) > LeaseUntil)
          return Answer(OrderAnswer::TooLate);
        this->extendLease(W, LeaseUntil);
        auto Found = W.Runs.find(Order.Task);
        if (Found != W.Runs.end() && Found->second.Number == Order.Run)
          return Answer(OrderAnswer::Accepted);
        if (Found != W.Runs.end() || Order.Run <= W.Refused[Order.Task])
          return Answer(OrderAnswer::StaleRun);
        Resources Used = this->Needs ? this->Needs(Order.Task) : Resources();
        for (const auto &[Task, R] : W.Runs)
          Used += this->Needs ? this->Needs(Task) : Resources();
        if (!Used.fitsIn(W.Registration.Capacity)) {
          ++this->CapacityRefusals;
          return Answer(OrderAnswer::NoRoom);
        }
        W.Runs[Order.Task] = {Order.Run};
        this->StartedRuns.push_back(
            {Order.Task, Order.Run, Id, this->Exec.now(), Order.Checkpoint});
        if (this->GangSizes && this->GangSizes(Order.Task) > 1) {
          this->startGangIfComplete(Order.Task, Order.Run);
        } else {
          absl::Duration Time =
              this->Durations ? this->Durations(Order.Task) : absl::Seconds(1);
          RunOutcome Outcome = this->Outcomes ? this->Outcomes(Order.Task, Id)
                                              : RunOutcome::Done;
          this->scheduleEnd(Id, Order.Task, Order.Run, Time, Outcome);
        }
        return Answer(OrderAnswer::Accepted);
      },
      [Done](OrderAnswer Kind) {
        Done({Kind, std::nullopt});
      });
}

void FakeWorkerFarm::stop(const WorkerTarget &Target, const StopOrder &Order,
                          int64_t Fence, absl::Duration Timeout,
                          OrderCallback Done) {
  WorkerId Id = Target.Id;
  this->deliver(
      "stop", Id, Timeout,
      [this, Id, Order, Fence, Done]() -> Work {
        Worker &W = this->Workers.at(Id);
        OrderReply Reply{OrderAnswer::Accepted, this->clock(W)};
        if (Fence < W.Fence) {
          Reply.Answer = OrderAnswer::Fenced;
          return [Done, Reply] { Done(Reply); };
        }
        W.Fence = Fence;
        int64_t &Refused = W.Refused[Order.Task];
        Refused = std::max(Refused, Order.Run);
        auto Found = W.Runs.find(Order.Task);
        if (Found != W.Runs.end() && Found->second.Number <= Order.Run)
          this->scheduleEnd(Id, Order.Task, Found->second.Number,
                            this->StopTime, RunOutcome::Stopped);
        return [Done, Reply] { Done(Reply); };
      },
      [Done](OrderAnswer Kind) {
        Done({Kind, std::nullopt});
      });
}

void FakeWorkerFarm::fetch(Callback Done) {
  if (!this->AreRegistrationsReadable) {
    this->Exec.runAfter(this->Latency, [Done = std::move(Done)] {
      Done(absl::UnavailableError("the registrations cannot be read"));
    });
    return;
  }
  std::vector<WorkerRegistration> Registrations;
  for (const auto &[Id, W] : this->Workers) {
    if (!W.IsRegistered)
      continue;
    Registrations.push_back(W.Registration);
    Registrations.back().Clock =
        std::max(this->clock(W) - this->RegistrationAge, absl::ZeroDuration());
  }
  if (this->ChangeRegistrations)
    this->ChangeRegistrations(Registrations);
  this->Exec.runAfter(
      this->Latency,
      [Done = std::move(Done), Registrations = std::move(Registrations)] {
        Done(Registrations);
      });
}

} // namespace vanillayard
