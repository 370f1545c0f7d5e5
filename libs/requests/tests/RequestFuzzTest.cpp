#include "Simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <map>

using namespace vanillayard;

using Submission = Simulation::Submission;

/// How often each outcome was seen, to show what the runs cover.
static std::map<std::string, int> Outcomes;

/// Random callers, faults, kills and freezes over three hosts.
class Chaos {
public:
  Chaos() : S(3, 3, *rc::gen::arbitrary<uint64_t>()) {}

  void step() {
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
    case 1:
      return this->submit("price-check", "",
                          fmt::format("check {}", S.Submissions.size()));
    case 2:
    case 3:
      ++this->Keys;
      return this->retry(this->Keys);
    case 4:
    case 5:
      return this->retry(*rc::gen::inRange(1, this->Keys + 2));
    case 6:
      return this->cancelOne();
    case 7:
      return this->breakStore();
    case 8:
      return this->breakNetwork();
    case 9:
      return this->breakWorker();
    case 10:
      return this->breakHost();
    default:
      for (auto &H : S.Hosts)
        if (!H->Exec.isFrozen())
          S.sendViews(*H);
      S.World.advance(absl::Milliseconds(*rc::gen::element(
          0, 1, 2, 3, 4, 5, 8, 15, 25, 60, 200, 900, 2500, 7000)));
    }
  }

  void heal() {
    S.Store.Fault = {};
    S.Workers.Fault = {};
    for (size_t I = 0; I < S.Workers.size(); ++I) {
      S.Workers.at(I).Down = S.Workers.at(I).FailEverything = false;
      S.Workers.resume(I);
    }
    for (auto &H : S.Hosts)
      H->Exec.thaw();
    S.World.advance(absl::Seconds(60));
    for (auto &H : S.Hosts)
      S.sendViews(*H);
  }

  /// All hosts serve again, and every key has an outcome: a claim whose worker
  /// kept its leases never ends in doubt.
  void checkRecovery() {
    for (size_t Host = 0; Host < S.Hosts.size(); ++Host) {
      Submission &Check = S.submit(Host, "price-check", "", "last check");
      Submission &Render =
          S.submit(Host, "cut-sheet", fmt::format("last{}", Host),
                   fmt::format("render last{}", Host));
      S.World.advance(absl::Seconds(5));
      RC_ASSERT(outcome(Check) == "ok");
      RC_ASSERT(outcome(Render) == "ok");
    }
    for (int Key = 1; Key <= this->Keys; ++Key) {
      Submission &Retry =
          S.submit(static_cast<size_t>(Key) % S.Hosts.size(), "cut-sheet",
                   fmt::format("key{}", Key), fmt::format("render {}", Key));
      S.World.advance(absl::Seconds(12));
      if (!this->LeasesForgotten)
        RC_ASSERT(outcome(Retry) == "ok" || outcome(Retry) == "task_failed");
      else
        RC_ASSERT(outcome(Retry) != "pending");
    }
  }

  void check() {
    for (const auto &[Body, Count] : S.Workers.ByBody)
      if (Body.starts_with("render"))
        RC_ASSERT(Count <= 1);
    for (const Submission &One : S.Submissions)
      this->check(One);
    for (auto &H : S.Hosts)
      RC_ASSERT(H->Task->liveCount() == 0u);
  }

private:
  void check(const Submission &One) {
    bool Killed = S.host(One.Host).Incarnation != One.Incarnation;
    RC_ASSERT(One.Callbacks <= 1);
    RC_ASSERT(Killed || One.Callbacks == 1);
    if (One.Callbacks == 0)
      return;
    ++Outcomes[outcome(One)];
    int Own = S.Workers.ByOwner[One.Request.Id.str()];
    int Any = S.Workers.ByBody[One.Request.Body];
    if (One.Result.ok()) {
      RC_ASSERT(One.Result->Id == One.Request.Id);
      RC_ASSERT(One.Result->Body == "answer to " + One.Request.Body);
      RC_ASSERT(Any >= 1);
      return;
    }
    RC_ASSERT(errorKindOf(One.Result.status()) != ErrorKind::Internal);
    if (isProvablyNotRun(One.Result.status()))
      RC_ASSERT(Own == 0);
    if (errorKindOf(One.Result.status()) == ErrorKind::TaskFailed)
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

  void retry(int Key) {
    this->submit("cut-sheet", fmt::format("key{}", Key),
                 fmt::format("render {}", Key));
  }

  void cancelOne() {
    if (S.Submissions.empty())
      return;
    Submission &One =
        S.Submissions[*rc::gen::inRange<size_t>(0, S.Submissions.size())];
    if (!S.host(One.Host).Exec.isFrozen())
      S.host(One.Host).Task->cancel(
          One.Request.Id, *rc::gen::element(CancelReason::Disconnected,
                                            CancelReason::Requested));
  }

  void breakStore() {
    FakeStore::Faults &F = S.Store.Fault;
    F.Down = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    F.Delay = absl::Milliseconds(*rc::gen::element(2, 2, 30, 700, 1500));
    F.LoseAnswer = *rc::gen::element(0.0, 0.0, 0.3);
    F.LateWrite = *rc::gen::element(0.0, 0.0, 0.3);
    F.StaleRead = *rc::gen::element(0.0, 0.0, 0.5);
  }

  void breakNetwork() {
    FakeWorkers::Faults &F = S.Workers.Fault;
    F.RunTime = absl::Milliseconds(*rc::gen::element(5, 20, 400, 3000));
    F.LateCall = *rc::gen::element(0.0, 0.0, 0.3);
    F.LoseAnswer = *rc::gen::element(0.0, 0.0, 0.3);
    F.CrossAnswer = *rc::gen::element(0.0, 0.0, 0.5);
    F.TruncateAnswer = *rc::gen::element(0.0, 0.0, 0.3);
  }

  void breakWorker() {
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
      this->LeasesForgotten = true;
      return S.Workers.restart(Index);
    case 4:
      return S.host(*rc::gen::inRange<size_t>(0, S.Hosts.size()))
          .Task->removeWorker(WorkerId(W.Name));
    default:
      return S.Workers.resume(Index);
    }
  }

  void breakHost() {
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
      S.World.advance(absl::Seconds(20));
      RC_ASSERT(H.Exec.isFrozen() || H.Task->liveCount() == 0u);
      return S.startHost(H);
    default:
      return H.Exec.thaw();
    }
  }

  Simulation S;
  int Keys = 0;
  bool LeasesForgotten = false;
};

// Guards the promises of section 1.1 for short requests: each callback once,
// the complete answer to the own request, "not run" only if it did not and
// will not run, and at most one execution of what is not repeatable.
RC_GTEST_PROP(RequestFuzzTest, PromisesHoldUnderFaults, ()) {
  Chaos Run;
  int Steps = *rc::gen::inRange(0, 120);
  for (int I = 0; I < Steps; ++I)
    Run.step();
  Run.heal();
  Run.checkRecovery();
  Run.check();
}

TEST(RequestFuzzTest, PrintOutcomes) {
  for (const auto &[Name, Count] : Outcomes)
    std::cout << Name << ": " << Count << "\n";
}
