#include "JobsSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

using namespace vanillayard;

namespace {

/// One step of the fuzz test. Operation selects the action, Target its worker,
/// host or account, and Amount its parameters and the time that follows.
struct FuzzStep {
  int Operation = 0;
  int Target = 0;
  int Amount = 0;
};

void showValue(const FuzzStep &S, std::ostream &Out) {
  Out << "op " << S.Operation << " target " << S.Target << " amount "
      << S.Amount;
}

/// One run of the fuzz test: applies steps to three hosts that share one store
/// and one fleet of four workers. Several hosts may be planner at once.
class FuzzRun {
public:
  static constexpr int OperationCount = 20;

  FuzzRun() { this->Sim.Hosts[0].Planner->setActive(true); }

  void applyStep(const FuzzStep &S) {
    size_t Worker = static_cast<size_t>(S.Target) % 4;
    size_t HostIndex = static_cast<size_t>(S.Target) % 3;
    JobsHost &Host = this->Sim.Hosts[HostIndex];
    const Endpoint Address = this->Sim.address(Worker);
    if (S.Operation <= 5)
      this->submit(S);
    else if (S.Operation <= 9)
      this->injectWorkerFault(S, Worker, Address);
    else if (!Host.Planner)
      this->Sim.restartHost(HostIndex);
    else
      this->injectHostFault(S, Host, HostIndex, Address);
    // From 3 ms, while leases are being acquired, to 12.288 s, past the end of
    // a lease.
    this->Sim.runFor(absl::Milliseconds(3 << S.Amount));
  }

  void healAndCheck() {
    this->Sim.heal(1);
    bool Ended = this->Sim.runUntilEnded(absl::Seconds(400));
    for (const JobId &Id : this->Sim.Accepted)
      if (!isTerminal(this->Sim.stateOf(Id)))
        RC_LOG() << this->Sim.recordOf(Id)->encode() << "\n";
    RC_LOG() << this->Sim.violation();
    RC_ASSERT(Ended);
    this->Sim.runFor(absl::Seconds(12));
    RC_ASSERT(this->Sim.violation() == "");
  }

private:
  // Submits a job of at most three whole workers. The fourth worker is
  // guaranteed to "big", so a job that needs it would wait for ever.
  void submit(const FuzzStep &S) {
    static const char *Accounts[] = {"big", "small", "other"};
    JobSpec Spec = JobsSimulation::makeSpec(
        Accounts[S.Target % 3], 1 + S.Amount % 3, 1 << (S.Target % 4),
        absl::Seconds(1 + (S.Amount * 7 + S.Target) % 20),
        S.Operation % 2 == 0);
    Spec.Checkpointable = S.Operation == 5;
    std::string Key = fmt::format("job{}", this->SubmittedCount++);
    this->Jobs.push_back(
        this->Sim.submit(Spec, Key, static_cast<size_t>(S.Amount) % 3));
  }

  void injectWorkerFault(const FuzzStep &S, size_t Worker,
                         const Endpoint &Address) {
    switch (S.Operation) {
    case 6:
      if (this->Sim.Fleet.isAlive(Address))
        return this->Sim.Fleet.kill(Address);
      return this->Sim.Fleet.restart(Address);
    case 7:
      this->Sim.Fleet.faults(Address).LoseAnswers = 1 + S.Amount / 3;
      return;
    case 8:
      this->Sim.Fleet.faults(Address).AnswerDelay =
          absl::Milliseconds(100 * (S.Amount % 3));
      return this->Sim.Fleet.setFrozen(Address, S.Amount % 2 == 0);
    default:
      return this->Sim.setWorkerDraining(Worker, S.Amount % 2 == 0);
    }
  }

  void injectHostFault(const FuzzStep &S, JobsHost &Host, size_t Index,
                       const Endpoint &Address) {
    switch (S.Operation) {
    case 10:
    case 11:
      return Host.Planner->setActive(S.Amount % 4 != 0);
    case 12:
      return this->Sim.killHost(Index);
    case 13:
      return Host.Exec->setPaused(!Host.Exec->isPaused());
    case 14:
      return Host.Workers->setLinkCut(Address, S.Amount % 2 == 0);
    case 15:
      return Host.Workers->setAllLinksCut(S.Amount % 2 == 0);
    case 16:
      return Host.Store->setDown(S.Amount % 2 == 0);
    case 17:
      return Host.Store->loseAnswers(1 + S.Amount / 3);
    case 18:
      return Host.Store->setLatency(absl::Milliseconds(1 + 150 * S.Amount));
    default:
      if (!this->Jobs.empty())
        this->Sim.cancel(
            this->Jobs[static_cast<size_t>(S.Amount) % this->Jobs.size()],
            Index);
    }
  }

  JobsSimulation Sim{2, 2, 3, JobsSimulation::defaultConfiguration(1)};
  std::vector<JobId> Jobs;
  int SubmittedCount = 0;
};

} // namespace

// Guards against a gang that runs in part, a second start of a job that is not
// repeatable, a job without an outcome or with two, and a run of a job that was
// answered with "not run", under any order of faults and with several planners
// at once.
RC_GTEST_PROP(PlannerFuzzTest, KeepsTheGuaranteesUnderAnyFaults, ()) {
  auto OneStep = rc::gen::build<FuzzStep>(
      rc::gen::set(&FuzzStep::Operation,
                   rc::gen::inRange(0, FuzzRun::OperationCount)),
      rc::gen::set(&FuzzStep::Target, rc::gen::inRange(0, 12)),
      rc::gen::set(&FuzzStep::Amount, rc::gen::inRange(0, 13)));
  // About a third of the default size keeps the whole test within a minute.
  auto Steps =
      *rc::gen::scale(0.3, rc::gen::container<std::vector<FuzzStep>>(OneStep));
  FuzzRun Run;
  for (const FuzzStep &S : Steps)
    Run.applyStep(S);
  Run.healAndCheck();
}
