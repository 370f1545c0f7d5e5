#include "placement/AdmissionPlanner.h"
#include "placement/CellPlacement.h"
#include "placement/FirstFit.h"

#include <benchmark/benchmark.h>

#include <fmt/format.h>

#include <random>

using namespace vanillayard;

// The two-year size of docs/CAPACITY.md. The 920 workers have 7,360
// accelerators, so most of the 21,000 tasks hold only a slot; gangs of mixed
// sizes hold 90% of the accelerators.
static constexpr int Workers = 920;
static constexpr int WorkersPerRack = 8;
static constexpr int Accounts = 120;
static constexpr double HeldShare = 0.9;
static constexpr int Tasks = 21000;
static constexpr int SlotsPerWorker = 32;

static Topology makeTopology() {
  std::vector<TopologyWorker> List;
  List.reserve(Workers);
  for (int I = 0; I < Workers; ++I)
    List.push_back({WorkerId(fmt::format("w{:04}", I)),
                    RackId(fmt::format("r{:03}", I / WorkersPerRack)), 8,
                    SlotsPerWorker});
  return Topology(List);
}

static std::vector<GuaranteedNeed> makeNeeds() {
  std::vector<GuaranteedNeed> Needs;
  for (int A = 0; A < Accounts; ++A) {
    Needs.push_back({A, 3, 1, 2, 0});
    Needs.push_back({A, 1, 1, 4, 0});
    if (A % 8 == 0)
      Needs.push_back({A, 3, 8, 1, 0});
  }
  return Needs;
}

struct Fleet {
  Topology Topo = makeTopology();
  Occupancy Occ{Topo};
  GuaranteeLedger Ledger{Topo, makeNeeds()};
  CellPlacement Cells;
  FirstFit First;
  std::mt19937 Random{42};
  int TasksHeld = 0;

  Fleet() {
    AdmissionPlanner Planner(this->Ledger, this->Cells);
    AdmissionDecision Decision;
    int Accelerators = 0;
    for (int Tries = 0; Tries < 40000; ++Tries) {
      AdmissionRequest Request = this->randomRequest(1 << (Tries % 4));
      Planner.decide(this->Occ, Request, absl::UnixEpoch(), Decision);
      bool Full = Accelerators > HeldShare * Workers * 8;
      if (Full || Decision.Class == AdmissionClass::Wait ||
          !Decision.Plan.Victims.empty()) {
        for (int Cell : Decision.Plan.Cells)
          if (this->Ledger.cells()[static_cast<size_t>(Cell)].Users == 0)
            this->Ledger.unbindCell(Cell);
        if (Full)
          break;
        continue;
      }
      this->hold(Request, Decision);
      Accelerators += Request.Shape.accelerators();
      this->TasksHeld += Request.Shape.Members;
    }
    for (int W = 0; this->TasksHeld < Tasks; W = (W + 1) % Workers) {
      if (this->Occ.freeSlots(W) <= 8)
        continue;
      int Holder = this->Occ.addHolder(-1, true, absl::UnixEpoch());
      this->Occ.place(Holder, {W, 0});
      ++this->TasksHeld;
    }
  }

  AdmissionRequest randomRequest(int Members) {
    AdmissionRequest Request;
    Request.Account = static_cast<int>(this->Random() % Accounts);
    Request.Shape = {Members, 1 << (this->Random() % 4), Adjacency::Rack};
    Request.Reclaimable = this->Random() % 2 == 0;
    return Request;
  }

  void hold(const AdmissionRequest &Request, const AdmissionDecision &D) {
    bool Reclaimable = D.Class == AdmissionClass::BorrowedReclaimable;
    int Holder =
        this->Occ.addHolder(Request.Account, Reclaimable, absl::UnixEpoch());
    for (const MemberPlace &P : D.Plan.Members)
      this->Occ.place(Holder, P);
    for (int Cell : D.Plan.Cells)
      this->Ledger.useCell(Holder, Cell);
  }
};

static void decideOnce(benchmark::State &State, PlacementPolicy &Policy,
                       Fleet &F, Adjacency RequiredAdjacency,
                       bool Reclaimable) {
  AdmissionPlanner Planner(F.Ledger, Policy);
  AdmissionDecision Decision;
  AdmissionRequest Request;
  Request.Shape = {static_cast<int>(State.range(0)),
                   static_cast<int>(State.range(1)), RequiredAdjacency};
  Request.Reclaimable = Reclaimable;
  int64_t Placed = 0;
  for (auto _ : State) {
    Request.Account = (Request.Account + 1) % Accounts;
    Planner.decide(F.Occ, Request, absl::UnixEpoch(), Decision);
    Placed += Decision.Class != AdmissionClass::Wait;
    for (int Cell : Decision.Plan.Cells)
      if (F.Ledger.cells()[static_cast<size_t>(Cell)].Users == 0)
        F.Ledger.unbindCell(Cell);
  }
  State.counters["placed"] =
      static_cast<double>(Placed) / static_cast<double>(State.iterations());
}

static Fleet &fleet() {
  static Fleet F;
  return F;
}

static void cellReclaimable(benchmark::State &State) {
  decideOnce(State, fleet().Cells, fleet(), Adjacency::DataCentre, true);
}
static void cellProtected(benchmark::State &State) {
  decideOnce(State, fleet().Cells, fleet(), Adjacency::DataCentre, false);
}
static void cellRack(benchmark::State &State) {
  decideOnce(State, fleet().Cells, fleet(), Adjacency::Rack, true);
}
static void firstFit(benchmark::State &State) {
  decideOnce(State, fleet().First, fleet(), Adjacency::DataCentre, true);
}

BENCHMARK(cellReclaimable)
    ->Args({1, 1})
    ->Args({8, 4})
    ->Args({64, 1})
    ->Args({64, 8});
BENCHMARK(cellProtected)
    ->Args({1, 1})
    ->Args({8, 4})
    ->Args({64, 1})
    ->Args({64, 8});
BENCHMARK(cellRack)->Args({1, 1})->Args({8, 4})->Args({64, 1})->Args({64, 8});
BENCHMARK(firstFit)->Args({1, 1})->Args({8, 4})->Args({64, 1})->Args({64, 8});

BENCHMARK_MAIN();
