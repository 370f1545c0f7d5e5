#include "Fleet.h"

#include "placement/CellTable.h"
#include "placement/FirstFit.h"
#include "placement/Fragmentation.h"

#include <bit>

namespace vanillayard {

void Fleet::rebuild() {
  std::vector<TopologyWorker> List;
  for (const auto &[Id, E] : this->Workers)
    List.push_back({Id, E.Worker.Rack, E.Worker.Accelerators, E.Worker.Slots});
  this->Topo = std::make_unique<Topology>(std::move(List));
  this->Held = std::make_unique<Occupancy>(*this->Topo);
  std::vector<GuaranteedNeed> Needs;
  if (this->Config)
    Needs = GuaranteeLedger::needsOf(this->Config->Accounts, this->DataCentre);
  this->Ledger = std::make_unique<GuaranteeLedger>(*this->Topo, Needs);
  this->Planner =
      std::make_unique<AdmissionPlanner>(*this->Ledger, *this->Policy);
  this->applyAvailability();
}

void Fleet::applyAvailability() {
  for (const auto &[Id, E] : this->Workers)
    this->Held->setAvailable(this->Topo->indexOf(Id), E.Listed &&
                                                          !E.Worker.Draining &&
                                                          !E.Worker.Ejected);
}

bool Fleet::setWorkers(const std::vector<PlannerWorker> &List) {
  bool Changed = false;
  for (auto &[Id, E] : this->Workers)
    E.Listed = false;
  for (const PlannerWorker &W : List) {
    Entry &E = this->Workers[W.Id];
    Changed |= E.Worker.Id.empty() || E.Worker.Rack != W.Rack ||
               E.Worker.Accelerators != W.Accelerators ||
               E.Worker.Slots != W.Slots;
    E.Worker = W;
    E.Listed = true;
  }
  if (Changed)
    this->rebuild();
  else
    this->applyAvailability();
  return Changed;
}

void Fleet::setConfiguration(std::shared_ptr<const Configuration> Value,
                             const DataCentreId &Dc) {
  this->Config = std::move(Value);
  this->DataCentre = Dc;
  this->rebuild();
}

int Fleet::accountIndex(const ClientAccountId &Account) const {
  if (!this->Config)
    return -1;
  for (size_t I = 0; I < this->Config->Accounts.size(); ++I)
    if (this->Config->Accounts[I].Name == Account)
      return static_cast<int>(I);
  return -1;
}

const PlannerWorker *Fleet::findWorker(const WorkerId &Id) const {
  auto Found = this->Workers.find(Id);
  return Found == this->Workers.end() ? nullptr : &Found->second.Worker;
}

const PlannerWorker &Fleet::worker(int Index) const {
  return *this->findWorker(this->Topo->worker(Index).Id);
}

bool Fleet::isListed(const WorkerId &Id) const {
  auto Found = this->Workers.find(Id);
  return Found != this->Workers.end() && Found->second.Listed;
}

std::vector<const PlannerWorker *> Fleet::listedWorkers() const {
  std::vector<const PlannerWorker *> Result;
  for (const auto &[Id, E] : this->Workers)
    if (E.Listed)
      Result.push_back(&E.Worker);
  return Result;
}

void Fleet::decideAdmission(const PlannedJob &Job, bool Borrowing,
                            std::span<const uint8_t> Denied, absl::Time Now,
                            AdmissionDecision &Out) {
  const JobSpec &Spec = Job.Record.Spec;
  AdmissionRequest Request;
  Request.Account = this->accountIndex(Spec.Account);
  Request.Shape = Spec.Shape;
  Request.Reclaimable = Spec.isReclaimable();
  Request.Borrowing = Borrowing;
  Request.Denied = Denied;
  std::vector<int> Hidden;
  for (const WorkerId &Id : Job.FailedWorkers)
    if (int W = this->Topo->indexOf(Id); W >= 0 && this->Held->isAvailable(W)) {
      this->Held->setAvailable(W, false);
      Hidden.push_back(W);
    }
  this->Planner->decide(*this->Held, Request, Now, Out);
  for (int W : Hidden)
    this->Held->setAvailable(W, true);
}

void Fleet::unbindUnusedCells(const AdmissionDecision &Decision) {
  for (int Cell : Decision.Plan.Cells)
    if (this->Ledger->cells()[static_cast<size_t>(Cell)].Users == 0)
      this->Ledger->unbindCell(Cell);
}

void Fleet::addHolder(PlannedJob &Job, const AdmissionDecision &Decision,
                      absl::Time Now) {
  Job.HeldReclaimable = Decision.Class == AdmissionClass::BorrowedReclaimable;
  Job.Holder = this->Held->addHolder(
      this->accountIndex(Job.Record.Spec.Account), Job.HeldReclaimable, Now);
  for (int Cell : Decision.Plan.Cells)
    this->Ledger->useCell(Job.Holder, Cell);
}

bool Fleet::place(PlannedJob &Job) {
  bool All = true;
  for (const GangMember &Member : Job.Members)
    if (int W = this->Topo->indexOf(Member.Place.Worker); W >= 0)
      All = this->Held->place(Job.Holder, {W, Member.Mask}) && All;
  return All;
}

void Fleet::holdExisting(PlannedJob &Job, bool Reclaimable) {
  Job.HeldReclaimable = Reclaimable;
  Job.Holder = this->Held->addHolder(
      this->accountIndex(Job.Record.Spec.Account), Reclaimable, Job.StartedAt);
  // A conflict means that another gang on these accelerators is about to end;
  // the worker decides which lease is valid.
  this->place(Job);
  if (!Reclaimable)
    this->Ledger->bindExisting(*this->Held, Job.Holder);
}

void Fleet::release(PlannedJob &Job) {
  for (const MemberPlace &P : Job.Promised)
    this->Held->unreserve(P);
  Job.Promised.clear();
  if (Job.Holder < 0)
    return;
  this->Ledger->releaseHolder(Job.Holder);
  this->Held->removeHolder(Job.Holder);
  Job.Holder = -1;
}

int Fleet::acceleratorsHeldBy(int Account) const {
  int Sum = 0;
  for (int I = 0; I < this->Held->holderCount(); ++I) {
    const Holder &H = this->Held->holder(I);
    if (H.InUse && H.Account == Account)
      for (const MemberPlace &P : H.Places)
        Sum += std::popcount(P.Mask);
  }
  return Sum;
}

void Fleet::setPlacement(PlacementChoice Choice) {
  if (Choice == PlacementChoice::FirstFit)
    this->Policy = std::make_unique<FirstFit>();
  else
    this->Policy = std::make_unique<CellPlacement>();
  this->rebuild();
}

int Fleet::heldInOwnCells(int Account) const {
  int Sum = 0;
  for (const BoundCell &Cell : this->Ledger->cells()) {
    if (Cell.Users == 0 || Cell.Need < 0 ||
        this->Ledger->needs()[static_cast<size_t>(Cell.Need)].Account !=
            Account)
      continue;
    for (const MemberPlace &Place : Cell.Area)
      for (int A = 0; A < MaxAcceleratorsPerWorker; ++A) {
        int Index = this->Held->holderAt(Place.Worker, A);
        if ((Place.Mask >> A & 1) && Index >= 0 &&
            this->Held->holder(Index).Account == Account)
          ++Sum;
      }
  }
  return Sum;
}

void Fleet::reportGuarantees(PlannerReport &Report) const {
  for (const GuaranteedNeed &Need : this->Ledger->needs())
    Report.Guarantees.push_back(
        {this->Config->Accounts[static_cast<size_t>(Need.Account)].Name,
         1 << Need.Level, Need.Workers, Need.Count, Need.Bound});
}

void Fleet::addAcceleratorUse(PlannerReport &Report) const {
  for (size_t I = 0; I < this->Config->Accounts.size(); ++I) {
    int Account = static_cast<int>(I);
    int Total = this->acceleratorsHeldBy(Account);
    if (Total > 0)
      Report.AccountUsages.push_back({this->Config->Accounts[I].Name, Total,
                                      Total - this->heldInOwnCells(Account)});
  }
}

PlannerReport Fleet::report() const {
  PlannerReport Report;
  for (int W = 0; W < this->Topo->workerCount(); ++W) {
    Report.Accelerators += std::popcount(this->Held->usableMask(W));
    Report.FreeAccelerators += std::popcount(this->Held->freeMask(W));
  }
  Report.UnmetAccelerators = this->Ledger->deficit(*this->Held);
  Report.LargestGang = largestStartableGang(
      *this->Held, MaxAcceleratorsPerWorker, Adjacency::Rack);
  Report.LargestPackedGang =
      largestPackedGang(*this->Held, MaxAcceleratorsPerWorker, Adjacency::Rack);
  Report.Fragmentation =
      fragmentation(*this->Held, MaxAcceleratorsPerWorker, Adjacency::Rack);
  if (this->Config) {
    this->reportGuarantees(Report);
    this->addAcceleratorUse(Report);
  }
  return Report;
}

} // namespace vanillayard
