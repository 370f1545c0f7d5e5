#include "Simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <map>

using namespace vanillayard;

using Submission = Simulation::Submission;

/// Number of requests with each outcome, which shows what the runs cover.
static std::map<std::string, int> Outcomes;

/// Submits random requests to three hosts and injects random faults of the
/// store, the network, the workers and the hosts.
class FaultInjectionRun {
public:
  FaultInjectionRun() : S(3, 3, *rc::gen::arbitrary<uint64_t>()) {}

  void runRandomStep() {
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
    case 1:
      return this->submit("price-check", "",
                          fmt::format("check {}", S.Submissions.size()));
    case 2:
    case 3:
      ++this->KeyCount;
      return this->submitNonRepeatable(this->KeyCount);
    case 4:
    case 5:
      return this->submitNonRepeatable(
          *rc::gen::inRange(1, this->KeyCount + 2));
    case 6:
      return this->cancelRandomRequest();
    case 7:
      return this->injectStoreFaults();
    case 8:
      return this->injectNetworkFaults();
    case 9:
      return this->injectWorkerFault();
    case 10:
      return this->injectHostFault();
    default:
      for (auto &H : S.Hosts)
        if (!H->Exec.isFrozen())
          S.sendViews(*H);
      S.VirtualExec.advance(absl::Milliseconds(*rc::gen::element(
          0, 1, 2, 3, 4, 5, 8, 15, 25, 60, 200, 900, 2500, 7000)));
    }
  }

  void clearFaults() {
    S.Store.Fault = {};
    S.Workers.Fault = {};
    for (size_t I = 0; I < S.Workers.size(); ++I) {
      S.Workers.at(I).Down = S.Workers.at(I).FailEverything = false;
      S.Workers.resume(I);
    }
    for (auto &H : S.Hosts)
      H->Exec.thaw();
    S.VirtualExec.advance(absl::Seconds(60));
    for (auto &H : S.Hosts)
      S.sendViews(*H);
  }

  /// Checks that all hosts serve requests again and that a retry of every key
  /// is answered: with the outcome of the request if no worker lost its leases.
  void checkRecovery() {
    for (size_t Host = 0; Host < S.Hosts.size(); ++Host) {
      Submission &Check = S.submit(Host, "price-check", "", "last check");
      Submission &Render =
          S.submit(Host, "cut-sheet", fmt::format("last{}", Host),
                   fmt::format("render last{}", Host));
      S.VirtualExec.advance(absl::Seconds(5));
      RC_ASSERT(outcome(Check) == "ok");
      RC_ASSERT(outcome(Render) == "ok");
    }
    for (int Key = 1; Key <= this->KeyCount; ++Key) {
      Submission &Retry =
          S.submit(static_cast<size_t>(Key) % S.Hosts.size(), "cut-sheet",
                   fmt::format("key{}", Key), fmt::format("render {}", Key));
      S.VirtualExec.advance(absl::Seconds(12));
      if (!this->HasLostLeases)
        RC_ASSERT(outcome(Retry) == "ok" || outcome(Retry) == "task_failed");
      else
        RC_ASSERT(outcome(Retry) != "pending");
    }
  }

  void checkInvariants() {
    for (const auto &[Body, Count] : S.Workers.ExecutionsByBody)
      if (Body.starts_with("render"))
        RC_ASSERT(Count <= 1);
    for (const Submission &Submitted : S.Submissions)
      this->checkOutcome(Submitted);
    for (auto &H : S.Hosts)
      RC_ASSERT(H->Task->unfinishedCount() == 0u);
  }

private:
  void checkOutcome(const Submission &Submitted) {
    bool Killed = S.host(Submitted.Host).Incarnation != Submitted.Incarnation;
    RC_ASSERT(Submitted.Callbacks <= 1);
    RC_ASSERT(Killed || Submitted.Callbacks == 1);
    if (Submitted.Callbacks == 0)
      return;
    ++Outcomes[outcome(Submitted)];
    int Own = S.Workers.ExecutionsByOwner[Submitted.Request.Id.str()];
    int Any = S.Workers.ExecutionsByBody[Submitted.Request.Body];
    if (Submitted.Result.ok()) {
      RC_ASSERT(Submitted.Result->Id == Submitted.Request.Id);
      RC_ASSERT(Submitted.Result->Body ==
                "answer to " + Submitted.Request.Body);
      RC_ASSERT(Any >= 1);
      return;
    }
    RC_ASSERT(errorKindOf(Submitted.Result.status()) != ErrorKind::Internal);
    if (isProvablyNotRun(Submitted.Result.status()))
      RC_ASSERT(Own == 0);
    if (errorKindOf(Submitted.Result.status()) == ErrorKind::TaskFailed)
      RC_ASSERT(Any >= 1);
  }

  void submit(const std::string &Kind, const std::string &Key,
              const std::string &Body) {
    auto Host = *rc::gen::inRange<size_t>(0, S.Hosts.size());
    if (S.host(Host).Exec.isFrozen())
      return;
    S.submit(Host, Kind, Key, Body,
             absl::Milliseconds(*rc::gen::element(20, 300, 2000, 8000)));
  }

  void submitNonRepeatable(int Key) {
    this->submit("cut-sheet", fmt::format("key{}", Key),
                 fmt::format("render {}", Key));
  }

  void cancelRandomRequest() {
    if (S.Submissions.empty())
      return;
    Submission &Submitted =
        S.Submissions[*rc::gen::inRange<size_t>(0, S.Submissions.size())];
    if (!S.host(Submitted.Host).Exec.isFrozen())
      S.host(Submitted.Host)
          .Task->cancel(Submitted.Request.Id,
                        *rc::gen::element(CancelReason::Disconnected,
                                          CancelReason::Requested));
  }

  void injectStoreFaults() {
    FakeStore::Faults &F = S.Store.Fault;
    F.Down = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    F.Delay = absl::Milliseconds(*rc::gen::element(2, 2, 30, 700, 1500));
    F.LoseAnswer = *rc::gen::element(0.0, 0.0, 0.3);
    F.LateWrite = *rc::gen::element(0.0, 0.0, 0.3);
    F.StaleRead = *rc::gen::element(0.0, 0.0, 0.5);
  }

  void injectNetworkFaults() {
    FakeWorkers::Faults &F = S.Workers.Fault;
    F.RunTime = absl::Milliseconds(*rc::gen::element(5, 20, 400, 3000));
    F.LateCall = *rc::gen::element(0.0, 0.0, 0.3);
    F.LoseAnswer = *rc::gen::element(0.0, 0.0, 0.3);
    F.AnswerForOtherLease = *rc::gen::element(0.0, 0.0, 0.5);
    F.TruncateAnswer = *rc::gen::element(0.0, 0.0, 0.3);
  }

  void injectWorkerFault() {
    auto Index = *rc::gen::inRange<size_t>(0, S.Workers.size());
    FakeWorker &W = S.Workers.at(Index);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      W.FailEverything = !W.FailEverything;
      return;
    case 1:
      W.Down = !W.Down;
      return;
    case 2:
      W.Paused = true;
      return;
    case 3:
      this->HasLostLeases = true;
      return S.Workers.restart(Index);
    case 4:
      return S.host(*rc::gen::inRange<size_t>(0, S.Hosts.size()))
          .Task->removeWorker(WorkerId(W.Name));
    default:
      return S.Workers.resume(Index);
    }
  }

  void injectHostFault() {
    Simulation::Host &H = S.host(*rc::gen::inRange<size_t>(0, S.Hosts.size()));
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return S.startHost(H);
    case 1:
      return H.Exec.freeze();
    case 2:
      S.connect(H, S.host((H.Index + 1) % S.Hosts.size()));
      H.Forwarder.LoseAnswers = *rc::gen::arbitrary<bool>();
      H.Task->shutdown([] {});
      S.VirtualExec.advance(absl::Seconds(20));
      RC_ASSERT(H.Exec.isFrozen() || H.Task->unfinishedCount() == 0u);
      return S.startHost(H);
    default:
      return H.Exec.thaw();
    }
  }

  Simulation S;
  int KeyCount = 0;
  bool HasLostLeases = false;
};

// Guards against violations of the promises in docs/design.md, section 1.1, for
// short requests: each callback runs once, an answer is complete and belongs to
// its request, an error says "not run" only if the request did not and will not
// run, and a non-repeatable request runs at most once.
RC_GTEST_PROP(RequestFuzzTest, InvariantsHoldUnderFaults, ()) {
  FaultInjectionRun Run;
  int Steps = *rc::gen::inRange(0, 120);
  for (int I = 0; I < Steps; ++I)
    Run.runRandomStep();
  Run.clearFaults();
  Run.checkRecovery();
  Run.checkInvariants();
}

TEST(RequestFuzzTest, PrintOutcomes) {
  for (const auto &[Name, Count] : Outcomes)
    std::cout << Name << ": " << Count << "\n";
}
