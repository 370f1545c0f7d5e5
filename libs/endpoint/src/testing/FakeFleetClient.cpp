#include "endpoint/testing/FakeFleetClient.h"

#include "base/ErrorKind.h"

#include <type_traits>
#include <utility>

namespace vanillayard {

template <typename T> struct FakeFleetClient::Call {
  Endpoint Worker;
  Operation<T> Execute;
  Callback<T> Done;
  uint64_t Id = 0;
  Executor::TimerId Timer = 0;
  bool Finished = false;
};

FakeFleetClient::FakeFleetClient(Executor &Exec, FakeWorkerFleet &Fleet)
    : Exec(Exec), Fleet(Fleet),
      Alive(std::make_shared<FakeFleetClient *>(this)) {}

FakeFleetClient::~FakeFleetClient() = default;

void FakeFleetClient::setLinkCut(const Endpoint &Worker, bool Cut) {
  if (Cut)
    this->CutLinks.insert(Worker);
  else
    this->CutLinks.erase(Worker);
}

bool FakeFleetClient::isCut(const Endpoint &Worker) const {
  return this->AllCut || this->CutLinks.contains(Worker);
}

/// Returns a function that runs \p Then unless the client of \p A has been
/// destroyed.
template <typename Work>
static std::function<void()>
whileAlive(const std::shared_ptr<FakeFleetClient *> &A, Work Then) {
  return [Weak = std::weak_ptr<FakeFleetClient *>(A), Then = std::move(Then)] {
    if (Weak.lock())
      Then();
  };
}

template <typename T>
void FakeFleetClient::startCall(const Endpoint &Worker, absl::Duration Timeout,
                                Operation<T> Execute, Callback<T> Done) {
  auto State = std::make_shared<Call<T>>();
  State->Worker = Worker;
  State->Execute = std::move(Execute);
  State->Done = std::move(Done);
  State->Id = this->Fleet.NextCall++;
  State->Timer = this->Exec.runAfter(
      Timeout, whileAlive(this->Alive, [this, State] {
        this->finishCall<T>(
            State, makeError(ErrorKind::OutcomeUnknown, "no answer in time"));
      }));
  this->Exec.runAfter(this->Latency, whileAlive(this->Alive, [this, State] {
                        this->deliverRequest<T>(State);
                      }));
}

template <typename T>
void FakeFleetClient::deliverRequest(std::shared_ptr<Call<T>> State) {
  if (State->Finished || this->isCut(State->Worker))
    return;
  if (!this->Fleet.isAlive(State->Worker))
    return this->finishCall<T>(
        State, makeError(ErrorKind::NoCapacity, "connection refused"));
  FakeWorkerFleet::Worker &Target = this->Fleet.worker(State->Worker);
  Target.OnKill[State->Id] = whileAlive(this->Alive, [this, State] {
    this->finishCall<T>(
        State, makeError(ErrorKind::OutcomeUnknown, "connection reset"));
  });
  auto Work =
      whileAlive(this->Alive, [this, State] { this->executeCall<T>(State); });
  if (Target.Faults.Frozen)
    Target.Waiting.push_back(std::move(Work));
  else
    Work();
}

template <typename T>
void FakeFleetClient::executeCall(std::shared_ptr<Call<T>> State) {
  if (!this->Fleet.isAlive(State->Worker))
    return;
  std::weak_ptr<FakeFleetClient *> Weak = this->Alive;
  State->Execute(this->Fleet.model(State->Worker),
                 [this, Weak, State](absl::StatusOr<T> Answer) {
                   if (Weak.lock())
                     this->sendAnswer<T>(State, std::move(Answer));
                 });
}

template <typename T>
void FakeFleetClient::sendAnswer(std::shared_ptr<Call<T>> State,
                                 absl::StatusOr<T> Answer) {
  WorkerFaults &Faults = this->Fleet.faults(State->Worker);
  if (WorkerFaults::consume(Faults.LoseAnswers))
    return;
  if (std::is_same_v<T, TaskResult> && Answer.ok() &&
      WorkerFaults::consume(Faults.CrossAnswers))
    Answer =
        makeError(ErrorKind::AnswerMismatch, "the answer is for another lease");
  else if (WorkerFaults::consume(Faults.TruncateAnswers))
    Answer = makeError(ErrorKind::AnswerTruncated, "the answer is truncated");
  auto Deliver = [this, State, Answer = std::move(Answer)] {
    // If the worker was killed, this call has already been failed.
    if (!this->isCut(State->Worker))
      this->finishCall<T>(State, Answer);
  };
  this->Exec.runAfter(Faults.AnswerDelay + this->Latency,
                      whileAlive(this->Alive, std::move(Deliver)));
}

template <typename T>
void FakeFleetClient::finishCall(const std::shared_ptr<Call<T>> &State,
                                 absl::StatusOr<T> Answer) {
  if (std::exchange(State->Finished, true))
    return;
  this->Exec.cancel(State->Timer);
  if (this->Fleet.exists(State->Worker))
    this->Fleet.worker(State->Worker).OnKill.erase(State->Id);
  Callback<T> Done = std::move(State->Done);
  State->Done = nullptr;
  Done(std::move(Answer));
}

void FakeFleetClient::status(const Endpoint &Worker,
                             Callback<WorkerStatus> Done) {
  this->startCall<WorkerStatus>(
      Worker, ControlTimeout,
      [](WorkerModel &Model, const Callback<WorkerStatus> &Answer) {
        Answer(Model.status());
      },
      std::move(Done));
}

void FakeFleetClient::acquire(const Endpoint &Worker,
                              const LeaseRequest &Request,
                              Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Request](WorkerModel &Model, const Callback<LeaseReport> &Answer) {
        Answer(Model.acquire(Request));
      },
      std::move(Done));
}

void FakeFleetClient::renew(const Endpoint &Worker,
                            const std::vector<LeaseId> &Leases,
                            const Epoch &Holder, absl::Duration Ttl,
                            Callback<RenewResult> Done) {
  this->startCall<RenewResult>(
      Worker, ControlTimeout,
      [Leases, Holder, Ttl](WorkerModel &Model,
                            const Callback<RenewResult> &Answer) {
        Answer(Model.renew(Leases, Holder, Ttl));
      },
      std::move(Done));
}

void FakeFleetClient::start(const Endpoint &Worker, const LeaseId &Lease,
                            const Epoch &Holder, std::string Body,
                            Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Lease, Holder, Body = std::move(Body)](
          WorkerModel &Model, const Callback<LeaseReport> &Answer) {
        Answer(Model.start(Lease, Holder, Body));
      },
      std::move(Done));
}

void FakeFleetClient::startAndWait(const Endpoint &Worker, const LeaseId &Lease,
                                   const Epoch &Holder, std::string Body,
                                   absl::Duration Timeout,
                                   Callback<TaskResult> Done) {
  this->startCall<TaskResult>(
      Worker, Timeout,
      [Lease, Holder, Body = std::move(Body)](WorkerModel &Model,
                                              Callback<TaskResult> Answer) {
        Model.startAndWait(Lease, Holder, Body, std::move(Answer));
      },
      std::move(Done));
}

void FakeFleetClient::run(const Endpoint &Worker, const LeaseRequest &Request,
                          std::string Body, absl::Duration Timeout,
                          Callback<TaskResult> Done) {
  this->startCall<TaskResult>(
      Worker, Timeout,
      [Request, Body = std::move(Body)](WorkerModel &Model,
                                        Callback<TaskResult> Answer) {
        Model.run(Request, Body, std::move(Answer));
      },
      std::move(Done));
}

void FakeFleetClient::query(const Endpoint &Worker, const LeaseId &Lease,
                            Callback<TaskResult> Done) {
  this->startCall<TaskResult>(
      Worker, ControlTimeout,
      [Lease](WorkerModel &Model, const Callback<TaskResult> &Answer) {
        Answer(Model.query(Lease));
      },
      std::move(Done));
}

void FakeFleetClient::revoke(const Endpoint &Worker, const LeaseId &Lease,
                             Callback<RevokeResult> Done) {
  this->startCall<RevokeResult>(
      Worker, ControlTimeout,
      [Lease](WorkerModel &Model, const Callback<RevokeResult> &Answer) {
        Answer(Model.revoke(Lease));
      },
      std::move(Done));
}

void FakeFleetClient::stop(const Endpoint &Worker, const LeaseId &Lease,
                           const Epoch &Holder, Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Lease, Holder](WorkerModel &Model, const Callback<LeaseReport> &Answer) {
        Answer(Model.stop(Lease, Holder));
      },
      std::move(Done));
}

void FakeFleetClient::checkpoint(const Endpoint &Worker, const LeaseId &Lease,
                                 const Epoch &Holder,
                                 Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Lease, Holder](WorkerModel &Model, const Callback<LeaseReport> &Answer) {
        Answer(Model.checkpoint(Lease, Holder));
      },
      std::move(Done));
}

void FakeFleetClient::throttle(const Endpoint &Worker, const LeaseId &Lease,
                               const Epoch &Holder, double Share,
                               Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Lease, Holder, Share](WorkerModel &Model,
                             const Callback<LeaseReport> &Answer) {
        Answer(Model.throttle(Lease, Holder, Share));
      },
      std::move(Done));
}

void FakeFleetClient::release(const Endpoint &Worker, const LeaseId &Lease,
                              Callback<LeaseReport> Done) {
  this->startCall<LeaseReport>(
      Worker, ControlTimeout,
      [Lease](WorkerModel &Model, const Callback<LeaseReport> &Answer) {
        Answer(Model.release(Lease));
      },
      std::move(Done));
}

} // namespace vanillayard
