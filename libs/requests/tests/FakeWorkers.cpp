#include "FakeWorkers.h"

#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration CallTimeout = absl::Seconds(2);

int FakeWorker::freeSlots() const {
  int Used = 0;
  for (const auto &[Id, L] : this->Leases)
    Used += L.State == LeaseState::Held || L.State == LeaseState::Running;
  return this->Slots - Used;
}

FakeWorkers::FakeWorkers(Executor &VirtualExec, int Count, uint64_t Seed)
    : VirtualExec(VirtualExec), Random(Seed) {
  for (int I = 0; I < Count; ++I) {
    this->Workers.push_back(std::make_unique<FakeWorker>());
    this->Workers.back()->Name = fmt::format("w{}", I);
  }
}

FakeWorker &FakeWorkers::at(const Endpoint &Address) {
  for (auto &Worker : this->Workers)
    if (Worker->Name == Address.str())
      return *Worker;
  std::abort();
}

WorkerCapacity FakeWorkers::view(size_t Index) const {
  const FakeWorker &W = *this->Workers[Index];
  return {WorkerId(W.Name),
          Endpoint(W.Name),
          W.Slots,
          W.freeSlots(),
          64,
          false,
          false};
}

bool FakeWorkers::chance(double Probability) {
  return std::uniform_real_distribution<double>()(this->Random) < Probability;
}

void FakeWorkers::resume(size_t Index) {
  this->at(Index).Paused = false;
  for (auto &Call : std::exchange(this->at(Index).HeldCalls, {}))
    this->VirtualExec.post(std::move(Call));
}

void FakeWorkers::start(FakeWorker &Worker, const LeaseId &Id,
                        const std::string &Body) {
  FakeWorker::Lease &L = Worker.Leases.at(Id);
  L.State = LeaseState::Running;
  L.Body = Body;
  ++Worker.Started;
  ++this->ExecutionsByOwner[L.Owner];
  ++this->ExecutionsByBody[Body];
  absl::Duration Time =
      Worker.FailEverything ? absl::Milliseconds(1) : this->Fault.RunTime;
  double Spread = this->Fault.RunTimeSpread;
  Time *= std::uniform_real_distribution<double>(1 - Spread,
                                                 1 + Spread)(this->Random);
  this->VirtualExec.runAfter(Time, [&Worker, Id] {
    auto Found = Worker.Leases.find(Id);
    if (Found == Worker.Leases.end())
      return;
    if (Found->second.State == LeaseState::Running)
      Found->second.State =
          Worker.FailEverything ? LeaseState::Failed : LeaseState::Finished;
    for (auto &Notify : std::exchange(Found->second.OnEnd, {}))
      Notify();
  });
}

template <typename T>
void FakeWorkerClient::call(
    const Endpoint &Address, absl::Duration Timeout, Callback<T> Done,
    std::function<void(FakeWorker &, ReplyCallback<T>)> Effect) {
  auto Once = std::make_shared<Callback<T>>(std::move(Done));
  ReplyCallback<T> Deliver = [this, Once](absl::StatusOr<T> Value) {
    this->HostExec.post([Once, Value] {
      if (*Once)
        std::exchange(*Once, nullptr)(Value);
    });
  };
  ReplyCallback<T> Answer = [this, Deliver](absl::StatusOr<T> Value) {
    if (this->Fleet.chance(this->Fleet.Fault.LoseAnswer)) {
      // Half of the losses are connection resets, which the host notices at
      // once; the others are noticed at the timeout.
      if (this->Fleet.chance(0.5))
        Deliver(makeError(ErrorKind::OutcomeUnknown, "connection reset"));
      return;
    }
    this->Fleet.VirtualExec.runAfter(absl::Milliseconds(1),
                                     [Deliver, Value] { Deliver(Value); });
  };
  FakeWorker &Worker = this->Fleet.at(Address);
  absl::Duration NetworkDelay = absl::Milliseconds(1);
  if (this->Fleet.chance(this->Fleet.Fault.LateCall))
    NetworkDelay = absl::Milliseconds(1000 + this->Fleet.Random() % 3000);
  this->Fleet.VirtualExec.runAfter(NetworkDelay, [&Worker, Answer, Effect] {
    if (Worker.Down)
      return Answer(makeError(ErrorKind::NoCapacity, "connection refused"));
    if (Worker.Paused)
      Worker.HeldCalls.push_back(
          [&Worker, Answer, Effect] { Effect(Worker, Answer); });
    else
      Effect(Worker, Answer);
  });
  this->Fleet.VirtualExec.runAfter(Timeout, [Deliver] {
    Deliver(makeError(ErrorKind::OutcomeUnknown, "no answer"));
  });
}

static LeaseReport makeReport(const LeaseId &Id, LeaseState State) {
  LeaseReport Report;
  Report.Lease = Id;
  Report.State = State;
  return Report;
}

static absl::Status acquireLease(FakeWorker &W, const LeaseRequest &Request,
                                 absl::Time Now) {
  for (auto &[Id, L] : W.Leases)
    if (L.State == LeaseState::Held && L.Expires <= Now)
      L.State = LeaseState::Expired;
  auto Found = W.Leases.find(Request.Lease);
  if (Found != W.Leases.end())
    return Found->second.State == LeaseState::Held
               ? absl::OkStatus()
               : makeError(ErrorKind::Conflict, "the lease has ended");
  if (W.freeSlots() <= 0)
    return makeError(ErrorKind::NoCapacity, "no free slot");
  W.Leases[Request.Lease] = {
      Request.Owner, "", LeaseState::Held, Now + Request.Ttl, {}};
  return absl::OkStatus();
}

static FakeWorker::Lease *findStartableLease(FakeWorker &W, const LeaseId &Id,
                                             absl::Time Now) {
  auto Found = W.Leases.find(Id);
  if (Found == W.Leases.end() || Found->second.State != LeaseState::Held)
    return nullptr;
  if (Found->second.Expires <= Now) {
    Found->second.State = LeaseState::Expired;
    return nullptr;
  }
  return &Found->second;
}

void FakeWorkerClient::acquire(const Endpoint &Worker,
                               const LeaseRequest &Request,
                               Callback<LeaseReport> Done) {
  this->call<LeaseReport>(
      Worker, CallTimeout, std::move(Done),
      [this, Request](FakeWorker &W, const ReplyCallback<LeaseReport> &Answer) {
        absl::Status Status = acquireLease(W, Request, this->HostExec.now());
        if (!Status.ok())
          return Answer(Status);
        Answer(makeReport(Request.Lease, LeaseState::Held));
      });
}

void FakeWorkerClient::answerWhenEnded(
    FakeWorker &Worker, const LeaseId &Lease,
    const ReplyCallback<TaskResult> &Answer) {
  Worker.Leases.at(Lease).OnEnd.push_back([this, &Worker, Lease, Answer] {
    const FakeWorker::Lease &L = Worker.Leases.at(Lease);
    if (L.State != LeaseState::Finished)
      return Answer(makeError(ErrorKind::TaskFailed, "the task failed"));
    if (this->Fleet.chance(this->Fleet.Fault.TruncateAnswer))
      return Answer(makeError(ErrorKind::AnswerTruncated, "short answer"));
    LeaseId AnsweredLease = Lease;
    if (this->Fleet.chance(this->Fleet.Fault.AnswerForOtherLease))
      AnsweredLease = Worker.Leases.begin()->first;
    Answer(TaskResult{AnsweredLease, LeaseState::Finished,
                      "answer to " + Worker.Leases.at(AnsweredLease).Body,
                      Worker.freeSlots()});
  });
}

void FakeWorkerClient::startAndWait(const Endpoint &Worker,
                                    const LeaseId &Lease,
                                    const Epoch & /*Holder*/, std::string Body,
                                    absl::Duration Timeout,
                                    Callback<TaskResult> Done) {
  this->call<TaskResult>(
      Worker, Timeout, std::move(Done),
      [this, Lease, Body](FakeWorker &W,
                          const ReplyCallback<TaskResult> &Answer) {
        if (!findStartableLease(W, Lease, this->HostExec.now()))
          return Answer(makeError(ErrorKind::Conflict, "the lease has ended"));
        this->Fleet.start(W, Lease, Body);
        this->answerWhenEnded(W, Lease, Answer);
      });
}

void FakeWorkerClient::run(const Endpoint &Worker, const LeaseRequest &Request,
                           std::string Body, absl::Duration Timeout,
                           Callback<TaskResult> Done) {
  this->call<TaskResult>(
      Worker, Timeout, std::move(Done),
      [this, Request, Body](FakeWorker &W,
                            const ReplyCallback<TaskResult> &Answer) {
        absl::Status Status = acquireLease(W, Request, this->HostExec.now());
        if (!Status.ok())
          return Answer(Status);
        this->Fleet.start(W, Request.Lease, Body);
        this->answerWhenEnded(W, Request.Lease, Answer);
      });
}

void FakeWorkerClient::query(const Endpoint &Worker, const LeaseId &Lease,
                             Callback<TaskResult> Done) {
  this->call<TaskResult>(
      Worker, CallTimeout, std::move(Done),
      [Lease](FakeWorker &W, const ReplyCallback<TaskResult> &Answer) {
        auto Found = W.Leases.find(Lease);
        if (Found == W.Leases.end())
          return Answer(TaskResult{Lease, LeaseState::Unknown, "", -1});
        const FakeWorker::Lease &L = Found->second;
        bool Ended = L.State == LeaseState::Finished;
        Answer(TaskResult{Lease, L.State, Ended ? "answer to " + L.Body : "",
                          W.freeSlots()});
      });
}

void FakeWorkerClient::revoke(const Endpoint &Worker, const LeaseId &Lease,
                              Callback<RevokeResult> Done) {
  this->call<RevokeResult>(
      Worker, CallTimeout, std::move(Done),
      [Lease](FakeWorker &W, const ReplyCallback<RevokeResult> &Answer) {
        auto Found = W.Leases.find(Lease);
        if (Found == W.Leases.end())
          return Answer(RevokeResult::Unknown);
        switch (Found->second.State) {
        case LeaseState::Held:
        case LeaseState::Expired:
        case LeaseState::Revoked:
          Found->second.State = LeaseState::Revoked;
          return Answer(RevokeResult::NeverStarted);
        case LeaseState::Running:
          return Answer(RevokeResult::Running);
        default:
          return Answer(RevokeResult::Finished);
        }
      });
}

void FakeWorkerClient::stop(const Endpoint &Worker, const LeaseId &Lease,
                            const Epoch & /*Holder*/,
                            Callback<LeaseReport> Done) {
  this->call<LeaseReport>(
      Worker, CallTimeout, std::move(Done),
      [Lease](FakeWorker &W, const ReplyCallback<LeaseReport> &Answer) {
        auto Found = W.Leases.find(Lease);
        if (Found != W.Leases.end() &&
            Found->second.State == LeaseState::Running)
          Found->second.State = LeaseState::Stopped;
        Answer(makeReport(Lease, LeaseState::Stopped));
      });
}

void FakeWorkerClient::release(const Endpoint &Worker, const LeaseId &Lease,
                               Callback<LeaseReport> Done) {
  this->call<LeaseReport>(
      Worker, CallTimeout, std::move(Done),
      [Lease](FakeWorker &W, const ReplyCallback<LeaseReport> &Answer) {
        auto Found = W.Leases.find(Lease);
        if (Found != W.Leases.end() &&
            Found->second.State == LeaseState::Running)
          return Answer(makeError(ErrorKind::Conflict, "the task runs"));
        W.Leases.erase(Lease);
        Answer(makeReport(Lease, LeaseState::Unknown));
      });
}

// RequestTask makes none of the calls below.
void FakeWorkerClient::status(const Endpoint & /*Worker*/,
                              Callback<WorkerStatus> /*Done*/) {
  std::abort();
}
void FakeWorkerClient::renew(const Endpoint & /*Worker*/,
                             const std::vector<LeaseId> & /*Leases*/,
                             const Epoch & /*Holder*/, absl::Duration /*Ttl*/,
                             Callback<RenewResult> /*Done*/) {
  std::abort();
}
void FakeWorkerClient::start(const Endpoint & /*Worker*/,
                             const LeaseId & /*Lease*/,
                             const Epoch & /*Holder*/, std::string /*Body*/,
                             Callback<LeaseReport> /*Done*/) {
  std::abort();
}
void FakeWorkerClient::checkpoint(const Endpoint & /*Worker*/,
                                  const LeaseId & /*Lease*/,
                                  const Epoch & /*Holder*/,
                                  Callback<LeaseReport> /*Done*/) {
  std::abort();
}
void FakeWorkerClient::throttle(const Endpoint & /*Worker*/,
                                const LeaseId & /*Lease*/,
                                const Epoch & /*Holder*/, double /*Share*/,
                                Callback<LeaseReport> /*Done*/) {
  std::abort();
}

} // namespace vanillayard
