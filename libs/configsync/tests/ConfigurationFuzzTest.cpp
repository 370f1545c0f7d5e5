#include "SampleConfiguration.h"

#include "base/VirtualExecutor.h"
#include "configsync/ConfigurationPeers.h"
#include "configsync/ConfigurationTask.h"
#include "configsync/ConfigurationWriter.h"
#include "store/testing/FakeStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

using namespace vanillayard;

namespace {

constexpr size_t HostCount = 4;
constexpr size_t OperatorCount = 2;
constexpr std::array<const char *, 3> PresetNames = {"ordinary", "peak",
                                                     "maintenance"};

enum class ActionKind {
  AdvanceClock,
  StaleReads,
  BreakWatches,
  SilenceWatches,
  Partition,
  StoreDown,
  SlowStore,
  CutLinks,
  Restart,
  ApplyPreset,
  LoseAnswers,
  Count,
};

struct Action {
  ActionKind Kind = ActionKind::AdvanceClock;
  size_t Target = 0;
  int Value = 0;
};

void showValue(const Action &A, std::ostream &Out) {
  Out << "{" << static_cast<int>(A.Kind) << ", " << A.Target << ", " << A.Value
      << "}";
}

/// Faults of one host. They persist when the host is restarted.
struct Faults {
  int StaleRevisions = 0;
  bool WatchesSilent = false;
  bool Partitioned = false;
  bool StoreDown = false;
  bool LinksCut = false;
  absl::Duration Latency = absl::Milliseconds(1);
};

class ConfigurationSimulation;

/// ConfigurationPeers of one simulated host.
class SimulatedPeers final : public ConfigurationPeers {
public:
  SimulatedPeers(ConfigurationSimulation &Sim, size_t Self)
      : Sim(Sim), Self(Self) {}
  void fetchDocument(const HostId &Host, int64_t, Callback Done) override;

private:
  ConfigurationSimulation &Sim;
  size_t Self;
};

struct Host {
  Faults ActiveFaults;
  std::unique_ptr<FakeStore> Store;
  std::unique_ptr<SimulatedPeers> Peers;
  std::unique_ptr<ConfigurationTask> Task;
  int64_t LastNotifiedGeneration = 0;
};

struct Operator {
  std::unique_ptr<FakeStore> Store;
  std::unique_ptr<ConfigurationWriter> Writer;
  bool IsBusy = false;
};

/// Several hosts and operators that share one store, with heartbeats between
/// the hosts, on a virtual clock.
class ConfigurationSimulation {
public:
  ConfigurationSimulation() {
    for (size_t I = 0; I < HostCount; ++I)
      this->restartHost(I);
    for (Operator &Op : this->Operators) {
      Op.Store = std::make_unique<FakeStore>(this->Exec, this->Data);
      Op.Writer = std::make_unique<ConfigurationWriter>(this->Exec, *Op.Store,
                                                        absl::Seconds(10));
    }
    this->sendHeartbeats();
  }

  void runAction(const Action &A);
  /// Reads the document of host \p To for host \p From.
  void fetchDocument(size_t From, size_t To, ConfigurationPeers::Callback Done);
  /// Ends all faults and stops the operators.
  void heal();
  void checkInvariants() const;
  void checkConverged() const;

  VirtualExecutor Exec;

private:
  void restartHost(size_t Index);
  void applyFaults(Host &H) const;
  void applyPreset(Operator &Op, const std::string &Preset);
  void sendHeartbeats();
  bool areConnected(size_t A, size_t B) const {
    return !this->Hosts[A].ActiveFaults.LinksCut &&
           !this->Hosts[B].ActiveFaults.LinksCut;
  }
  /// The document with this generation that the store accepted; empty if there
  /// is none.
  std::string acceptedText(int64_t Generation) const;

  std::shared_ptr<FakeStoreData> Data = std::make_shared<FakeStoreData>();
  std::array<Host, HostCount> Hosts;
  std::array<Operator, OperatorCount> Operators;
  /// Accepted documents in order of generation, from 1 on. acceptedText() adds
  /// the new ones from the store's history.
  mutable std::vector<std::string> Accepted;
  mutable int64_t SeenRevision = 0;
};

} // namespace

void SimulatedPeers::fetchDocument(const HostId &Host, int64_t, Callback Done) {
  this->Sim.fetchDocument(this->Self, std::stoul(Host.str()), std::move(Done));
}

static std::string hostName(size_t Index) {
  return std::to_string(Index);
}

void ConfigurationSimulation::applyFaults(Host &H) const {
  H.Store->setStaleReads(H.ActiveFaults.StaleRevisions);
  H.Store->setWatchesSilent(H.ActiveFaults.WatchesSilent);
  H.Store->setPartitioned(H.ActiveFaults.Partitioned);
  H.Store->setDown(H.ActiveFaults.StoreDown);
  H.Store->setLatency(H.ActiveFaults.Latency);
}

void ConfigurationSimulation::restartHost(size_t Index) {
  Host &H = this->Hosts[Index];
  H.Task.reset();
  H.Store = std::make_unique<FakeStore>(this->Exec, this->Data);
  this->applyFaults(H);
  H.LastNotifiedGeneration = 0;
  H.Peers = std::make_unique<SimulatedPeers>(*this, Index);
  H.Task =
      std::make_unique<ConfigurationTask>(this->Exec, *H.Store, *H.Peers, [&H] {
        RC_ASSERT(H.Task->generation() > H.LastNotifiedGeneration);
        H.LastNotifiedGeneration = H.Task->generation();
      });
  H.Task->start();
}

void ConfigurationSimulation::sendHeartbeats() {
  for (size_t From = 0; From < HostCount; ++From)
    for (size_t To = 0; To < HostCount; ++To)
      if (From != To && this->areConnected(From, To))
        this->Hosts[To].Task->onNewerGeneration(
            HostId(hostName(From)), this->Hosts[From].Task->generation());
  this->Exec.runAfter(absl::Seconds(1), [this] { this->sendHeartbeats(); });
}

void ConfigurationSimulation::fetchDocument(size_t From, size_t To,
                                            ConfigurationPeers::Callback Done) {
  this->Exec.runAfter(absl::Milliseconds(1), [this, From, To, Done] {
    if (!this->areConnected(From, To)) {
      this->Exec.runAfter(absl::Seconds(1), [Done] {
        Done(absl::UnavailableError("no answer"));
      });
      return;
    }
    std::string Document = this->Hosts[To].Task->document();
    this->Exec.runAfter(absl::Milliseconds(1),
                        [Done, Document] { Done(Document); });
  });
}

void ConfigurationSimulation::applyPreset(Operator &Op,
                                          const std::string &Preset) {
  if (Op.IsBusy)
    return;
  Op.IsBusy = true;
  Op.Writer->read([this, &Op, Preset](const auto &Base) {
    Op.IsBusy = Base.ok();
    if (!Base.ok())
      return;
    Op.Writer->apply(sampleConfiguration(1, Preset), *Base,
                     [this, &Op](const absl::StatusOr<Configuration> &Result) {
                       Op.IsBusy = false;
                       // A change that is reported as applied must be among
                       // the documents that the store accepted.
                       if (Result.ok())
                         RC_ASSERT(ConfigurationCodec::encode(*Result) ==
                                   this->acceptedText(Result->Generation));
                     });
  });
}

void ConfigurationSimulation::runAction(const Action &A) {
  Host &H = this->Hosts[A.Target % HostCount];
  Operator &Op = this->Operators[A.Target % OperatorCount];
  bool IsOn = A.Value % 2 == 1;
  switch (A.Kind) {
  case ActionKind::AdvanceClock:
    this->Exec.advance(absl::Milliseconds(A.Value * 15));
    return;
  case ActionKind::StaleReads:
    H.ActiveFaults.StaleRevisions = A.Value % 5;
    break;
  case ActionKind::BreakWatches:
    H.Store->breakWatches();
    return;
  case ActionKind::SilenceWatches:
    H.ActiveFaults.WatchesSilent = IsOn;
    break;
  case ActionKind::Partition:
    H.ActiveFaults.Partitioned = IsOn;
    break;
  case ActionKind::StoreDown:
    H.ActiveFaults.StoreDown = IsOn;
    break;
  case ActionKind::SlowStore:
    H.ActiveFaults.Latency = absl::Milliseconds(IsOn ? A.Value * 20 : 1);
    break;
  case ActionKind::CutLinks:
    H.ActiveFaults.LinksCut = IsOn;
    return;
  case ActionKind::Restart:
    this->restartHost(A.Target % HostCount);
    return;
  case ActionKind::LoseAnswers:
    Op.Store->loseAnswers(A.Value % 4);
    return;
  default:
    this->applyPreset(Op, PresetNames[static_cast<size_t>(A.Value) % 3]);
    return;
  }
  this->applyFaults(H);
}

void ConfigurationSimulation::heal() {
  for (Operator &Op : this->Operators)
    Op.Writer.reset();
  for (Host &H : this->Hosts) {
    H.ActiveFaults = Faults();
    this->applyFaults(H);
  }
  // Lets the writes in flight take effect.
  this->Exec.advance(absl::Milliseconds(2));
}

std::string ConfigurationSimulation::acceptedText(int64_t Generation) const {
  for (const WatchEvent &Event : this->Data->changesSince(
           ConfigurationTask::Key, this->SeenRevision + 1)) {
    this->SeenRevision = Event.Value.ModRevision;
    this->Accepted.push_back(Event.Value.Value);
    // Compare-and-swap must leave no gap and accept no generation twice.
    RC_ASSERT(ConfigurationCodec::decode(Event.Value.Value)->Generation ==
              static_cast<int64_t>(this->Accepted.size()));
  }
  auto Index = static_cast<size_t>(Generation) - 1;
  return Index < this->Accepted.size() ? this->Accepted[Index] : "";
}

void ConfigurationSimulation::checkInvariants() const {
  for (const Host &H : this->Hosts) {
    RC_ASSERT(H.Task->generation() == H.LastNotifiedGeneration);
    RC_ASSERT(H.Task->document() ==
              this->acceptedText(H.LastNotifiedGeneration));
  }
}

void ConfigurationSimulation::checkConverged() const {
  auto Stored = this->Data->read(ConfigurationTask::Key);
  for (const Host &H : this->Hosts)
    RC_ASSERT(H.Task->document() == (Stored ? Stored->Value : ""));
}

static rc::Gen<std::vector<Action>> actionsGen() {
  auto ActionGen = rc::gen::apply(
      [](int Kind, size_t Target, int Value) {
        // Half of the actions advance the clock or apply a preset.
        int Count = static_cast<int>(ActionKind::Count);
        auto Chosen = static_cast<ActionKind>(Kind % Count);
        if (Kind >= Count)
          Chosen =
              Kind % 2 ? ActionKind::AdvanceClock : ActionKind::ApplyPreset;
        return Action{Chosen, Target, Value};
      },
      rc::gen::inRange(0, 2 * static_cast<int>(ActionKind::Count)),
      rc::gen::inRange<size_t>(0, HostCount), rc::gen::inRange(0, 200));
  return rc::gen::scale(
      3, rc::gen::container<std::vector<Action>>(std::move(ActionGen)));
}

// Guards against a configuration that reverts, that differs between hosts, or
// that does not reach every host within 3 s after the faults end. Faults: stale
// reads, broken and silent watches, partitions, slow calls, lost answers,
// restarts and concurrent changes by two operators.
RC_GTEST_PROP(ConfigurationFuzzTest, NeverRevertsAndConverges, ()) {
  std::vector<Action> Actions = *actionsGen();
  ConfigurationSimulation Sim;
  for (const Action &A : Actions) {
    Sim.runAction(A);
    Sim.checkInvariants();
  }
  Sim.heal();
  Sim.Exec.advance(absl::Seconds(3));
  Sim.checkInvariants();
  Sim.checkConverged();
}
