#ifndef VANILLAYARD_REQUESTS_TESTS_SIMULATION_H
#define VANILLAYARD_REQUESTS_TESTS_SIMULATION_H

#include "FakeStore.h"
#include "FakeWorkers.h"
#include "HostExecutor.h"
#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"
#include "config/Configuration.h"
#include "requests/RequestForwarder.h"
#include "requests/RequestTask.h"

#include <fmt/format.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

/// Forwards requests to one other host of the simulation. If that host does not
/// answer, the forward fails with OutcomeUnknown 1 s after the deadline.
class FakeForwarder final : public RequestForwarder {
public:
  std::span<const DataCentreLoad> dataCentreLoads() const override {
    return this->Loads;
  }
  void forward(const DataCentreId & /*Target*/, const SubmittedRequest &Request,
               AnswerCallback Done) override {
    ++this->Count;
    auto Once = std::make_shared<AnswerCallback>(std::move(Done));
    auto Answer = [Exec = this->Exec,
                   Once](const absl::StatusOr<RequestAnswer> &Result) {
      Exec->post([Once, Result] {
        if (*Once)
          std::exchange(*Once, nullptr)(Result);
      });
    };
    if (!this->Peer)
      return Answer(makeError(ErrorKind::ShuttingDown, "no peer"));
    this->PeerExec->post([Peer = this->Peer, Request, Answer] {
      Peer->submit(Request, Answer);
    });
    if (this->LoseAnswers)
      this->Exec->runAfter(absl::Milliseconds(10), [Answer] {
        Answer(makeError(ErrorKind::OutcomeUnknown, "connection reset"));
      });
    this->Exec->runAfter(
        Request.Deadline - this->Exec->now() + absl::Seconds(1), [Answer] {
          Answer(makeError(ErrorKind::OutcomeUnknown, "no answer"));
        });
  }

  Executor *Exec = nullptr;
  RequestTask *Peer = nullptr;
  Executor *PeerExec = nullptr;
  bool LoseAnswers = false;
  int Count = 0;
  std::vector<DataCentreLoad> Loads;
};

/// Entry hosts that share a fake store and fake workers, on a virtual clock.
class Simulation {
public:
  struct Host {
    Host(Simulation &S, size_t Index)
        : Exec(S.VirtualExec), StoreCalls(S.Store, this->Exec),
          WorkerCalls(S.Workers, this->Exec), Index(Index) {
      this->Forwarder.Exec = &this->Exec;
    }

    HostExecutor Exec;
    FakeStoreClient StoreCalls;
    FakeWorkerClient WorkerCalls;
    FakeForwarder Forwarder;
    std::unique_ptr<RequestTask> Task;
    size_t Index;
    int Incarnation = 0;
  };

  /// One submission and its result.
  struct Submission {
    SubmittedRequest Request;
    size_t Host = 0;
    int Incarnation = 0;
    int Callbacks = 0;
    absl::Time Finished;
    absl::StatusOr<RequestAnswer> Result = absl::UnknownError("pending");
  };

  explicit Simulation(int HostCount = 1, int WorkerCount = 3,
                      uint64_t Seed = 42)
      : Store(VirtualExec, Seed), Workers(VirtualExec, WorkerCount, Seed + 1) {
    this->Config.PresetInForce = PresetId("ordinary");
    this->Config.Presets.push_back(
        {PresetId("ordinary"), {}, 0, true, true, true});
    for (const char *Name : {"a", "b"})
      this->Config.Accounts.push_back({ClientAccountId(Name), 1, {}, 0, 10000});
    this->Config.Kinds = {
        {KindOfWorkId("price-check"), Urgency::Urgent, {}, true},
        {KindOfWorkId("cut-sheet"), Urgency::Normal, {}, false},
        {KindOfWorkId("cut-match"), Urgency::Normal, {}, true},
        {KindOfWorkId("photo-match"), Urgency::Deferrable, {}, true}};
    for (int I = 0; I < HostCount; ++I)
      this->Hosts.push_back(std::make_unique<Host>(*this, this->Hosts.size()));
    for (auto &H : this->Hosts)
      this->startHost(*H);
  }

  /// Starts a new process on a host; the old process is killed without a
  /// graceful shutdown.
  void startHost(Host &H, QueueOrder Order = QueueOrder::WeightedFair) {
    H.Exec.restart();
    H.Task.reset();
    ++H.Incarnation;
    H.Task = *RequestTask::Builder(H.Exec, H.StoreCalls, H.WorkerCalls)
                  .host(HostId(fmt::format("h{}", H.Index)))
                  .dataCentre(DataCentreId("dc1"))
                  .forwarder(&H.Forwarder)
                  .seed(H.Index * 100 + static_cast<size_t>(H.Incarnation))
                  .queueOrder(Order)
                  .build();
    H.Task->setConfiguration(this->Config);
    this->sendViews(H);
  }

  void sendViews(Host &H) {
    for (size_t I = 0; I < this->Workers.size(); ++I)
      H.Task->updateWorker(this->Workers.view(I));
  }

  Submission &submit(size_t HostIndex, const std::string &Kind,
                     const std::string &Key, const std::string &Body,
                     absl::Duration Deadline = absl::Seconds(10),
                     const std::string &Caller = "c") {
    Host &H = *this->Hosts[HostIndex];
    Submission &S = this->Submissions.emplace_back();
    S.Host = HostIndex;
    S.Incarnation = H.Incarnation;
    S.Request = {RequestId(fmt::format("r{}", this->Submissions.size())),
                 ClientAccountId("a"),
                 CallerId(Caller),
                 KindOfWorkId(Kind),
                 this->VirtualExec.now() + Deadline,
                 Key.empty(),
                 Key,
                 Body,
                 false};
    H.Task->submit(S.Request, [this, &S](absl::StatusOr<RequestAnswer> Result) {
      ++S.Callbacks;
      S.Finished = this->VirtualExec.now();
      S.Result = std::move(Result);
    });
    return S;
  }

  void connect(Host &From, Host &To) {
    From.Forwarder.Peer = To.Task.get();
    From.Forwarder.PeerExec = &To.Exec;
  }

  Host &host(size_t Index = 0) { return *this->Hosts[Index]; }

  VirtualExecutor VirtualExec;
  FakeStore Store;
  FakeWorkers Workers;
  Configuration Config;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::deque<Submission> Submissions;
};

/// Returns "pending", "ok" or the name of the error.
inline std::string outcome(const Simulation::Submission &S) {
  if (S.Callbacks == 0)
    return "pending";
  if (S.Result.ok())
    return "ok";
  return std::string(errorKindInfo(errorKindOf(S.Result.status())).Name);
}

} // namespace vanillayard

#endif
