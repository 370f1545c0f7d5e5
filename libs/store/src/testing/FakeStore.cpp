#include "store/testing/FakeStore.h"

#include "base/ErrorKind.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace vanillayard {

static absl::Status unavailable(std::string_view Detail) {
  return makeError(ErrorKind::PlatformUnavailable, Detail);
}

struct FakeStore::WatchState {
  std::string Prefix;
  int64_t FromRevision = 0;
  WatchCallback Changed;
  WatchEndCallback Ended;
  /// True once the watch is open and reports changes.
  bool Started = false;
  bool Closed = false;
  /// Batches not yet delivered. Queued so that they arrive in order even if
  /// the latency changes.
  std::deque<std::vector<WatchEvent>> Pending;
};

class FakeStore::Watch final : public StoreWatch {
public:
  explicit Watch(std::shared_ptr<WatchState> Watched)
      : Watched(std::move(Watched)) {}
  ~Watch() override { this->Watched->Closed = true; }

private:
  std::shared_ptr<WatchState> Watched;
};

struct FakeStore::State : std::enable_shared_from_this<FakeStore::State> {
  State(Executor &Exec, std::shared_ptr<FakeStoreData> Data)
      : Exec(Exec), Data(std::move(Data)) {}

  bool isDisconnected() const { return this->Down || this->Partitioned; }

  bool consumeFailure() {
    return this->CallsToFail > 0 && this->CallsToFail-- > 0;
  }

  int64_t readRevision() const {
    return std::max<int64_t>(this->Data->revision() - this->StaleRevisions, 0);
  }

  /// Runs \p Effect and passes its result to \p Done, subject to the injected
  /// faults.
  template <typename T>
  void runCall(std::function<T(FakeStoreData &)> Effect,
               std::function<void(absl::StatusOr<T>)> Done, bool IsWrite);

  void openWatch(const std::shared_ptr<WatchState> &Watched);
  void reportEvents(const std::vector<WatchEvent> &Events);
  void deliver(const std::shared_ptr<WatchState> &Watched,
               std::vector<WatchEvent> Events, absl::Duration Delay);
  void endWatch(const std::shared_ptr<WatchState> &Watched);

  Executor &Exec;
  std::shared_ptr<FakeStoreData> Data;
  FakeStoreData::ListenerId Listener = 0;
  std::vector<std::weak_ptr<WatchState>> Watches;
  absl::Duration Latency = absl::Milliseconds(1);
  absl::Duration Timeout = absl::Seconds(1);
  int64_t StaleRevisions = 0;
  int CallsToFail = 0;
  int AnswersToLose = 0;
  bool Down = false;
  bool Partitioned = false;
  bool WatchesSilent = false;
  bool Alive = true;
  CallCounts Counts;
};

template <typename T>
void FakeStore::State::runCall(std::function<T(FakeStoreData &)> Effect,
                               std::function<void(absl::StatusOr<T>)> Done,
                               bool IsWrite) {
  auto Self = this->shared_from_this();
  auto Answered = std::make_shared<bool>(false);
  auto Answer = [Self, Answered, Done](absl::StatusOr<T> Result) {
    if (*Answered || !Self->Alive)
      return;
    *Answered = true;
    Done(std::move(Result));
  };
  if (this->consumeFailure() || this->isDisconnected()) {
    this->Exec.runAfter(
        this->Partitioned ? this->Timeout : this->Latency,
        [Answer] { Answer(unavailable("an injected fault failed the call")); });
    return;
  }
  bool IsLost = IsWrite && this->AnswersToLose > 0 && this->AnswersToLose-- > 0;
  absl::Duration Latency = this->Latency;
  if (Latency >= this->Timeout)
    this->Exec.runAfter(this->Timeout,
                        [Answer] { Answer(unavailable("timeout")); });
  this->Exec.runAfter(Latency / 2, [Self, Effect, Answer, IsLost, Latency] {
    absl::StatusOr<T> Result =
        unavailable("the connection failed before the call took effect");
    if (!Self->isDisconnected())
      Result = Effect(*Self->Data);
    Self->Exec.runAfter(Latency - Latency / 2, [Self, Answer, IsLost, Result] {
      if (IsLost || Self->isDisconnected())
        Answer(unavailable("the answer was lost"));
      else
        Answer(Result);
    });
  });
}

void FakeStore::State::openWatch(const std::shared_ptr<WatchState> &Watched) {
  if (Watched->Closed || !this->Alive || this->Partitioned)
    return;
  if (this->Down) {
    this->endWatch(Watched);
    return;
  }
  Watched->Started = true;
  if (this->WatchesSilent || Watched->FromRevision <= 0)
    return;
  auto Events =
      this->Data->changesSince(Watched->Prefix, Watched->FromRevision);
  if (!Events.empty())
    this->deliver(Watched, std::move(Events), absl::ZeroDuration());
}

void FakeStore::State::reportEvents(const std::vector<WatchEvent> &Events) {
  if (this->isDisconnected() || this->WatchesSilent)
    return;
  for (const std::weak_ptr<WatchState> &Weak : this->Watches) {
    auto Watched = Weak.lock();
    if (!Watched || Watched->Closed || !Watched->Started)
      continue;
    std::vector<WatchEvent> Matching;
    for (const WatchEvent &Event : Events)
      if (Event.Value.Key.compare(0, Watched->Prefix.size(), Watched->Prefix) ==
              0 &&
          Event.Value.ModRevision >= Watched->FromRevision)
        Matching.push_back(Event);
    if (!Matching.empty())
      this->deliver(Watched, std::move(Matching), this->Latency);
  }
}

void FakeStore::State::deliver(const std::shared_ptr<WatchState> &Watched,
                               std::vector<WatchEvent> Events,
                               absl::Duration Delay) {
  Watched->Pending.push_back(std::move(Events));
  auto Self = this->shared_from_this();
  this->Exec.runAfter(Delay, [Self, Watched] {
    std::vector<WatchEvent> Batch = std::move(Watched->Pending.front());
    Watched->Pending.pop_front();
    if (!Watched->Closed && Self->Alive && !Self->isDisconnected() &&
        !Self->WatchesSilent)
      Watched->Changed(std::move(Batch));
  });
}

void FakeStore::State::endWatch(const std::shared_ptr<WatchState> &Watched) {
  if (Watched->Closed)
    return;
  auto Self = this->shared_from_this();
  this->Exec.post([Self, Watched] {
    if (Watched->Closed || !Self->Alive)
      return;
    Watched->Closed = true;
    // Moved out first, as the callback may destroy the watch.
    WatchEndCallback Ended = std::move(Watched->Ended);
    Ended(unavailable("an injected fault ended the watch"));
  });
}

FakeStore::FakeStore(Executor &Exec)
    : FakeStore(Exec, std::make_shared<FakeStoreData>()) {}

FakeStore::FakeStore(Executor &Exec, std::shared_ptr<FakeStoreData> Data)
    : Shared(std::make_shared<State>(Exec, std::move(Data))) {
  State *Raw = this->Shared.get();
  Raw->Listener =
      Raw->Data->addListener([Raw](const std::vector<WatchEvent> &Events) {
        Raw->reportEvents(Events);
      });
}

FakeStore::~FakeStore() {
  this->Shared->Alive = false;
  this->Shared->Data->removeListener(this->Shared->Listener);
}

void FakeStore::get(const std::string &Key, RangeCallback Done) {
  ++this->Shared->Counts.Reads;
  this->Shared->runCall<RangeResult>(
      [Key, Self = this->Shared](FakeStoreData &Data) {
        return Data.get(Key, Self->readRevision());
      },
      std::move(Done), false);
}

void FakeStore::list(const std::string &Prefix, RangeCallback Done) {
  ++this->Shared->Counts.Reads;
  this->Shared->runCall<RangeResult>(
      [Prefix, Self = this->Shared](FakeStoreData &Data) {
        return Data.list(Prefix, Self->readRevision());
      },
      std::move(Done), false);
}

void FakeStore::write(std::vector<ConditionalWrite> Writes,
                      WriteCallback Done) {
  ++this->Shared->Counts.Writes;
  absl::flat_hash_set<std::string> Keys;
  for (const ConditionalWrite &Write : Writes) {
    if (Keys.insert(Write.Key).second)
      continue;
    this->Shared->Exec.post([Done = std::move(Done)] {
      Done(makeError(ErrorKind::InvalidRequest,
                     "a batch of writes contains a key twice"));
    });
    return;
  }
  this->Shared->runCall<std::vector<WriteResult>>(
      [Writes = std::move(Writes)](FakeStoreData &Data) {
        return Data.apply(Writes);
      },
      std::move(Done), true);
}

std::unique_ptr<StoreWatch> FakeStore::watch(const std::string &Prefix,
                                             int64_t FromRevision,
                                             WatchCallback Changed,
                                             WatchEndCallback Ended) {
  ++this->Shared->Counts.Watches;
  auto Watched = std::make_shared<WatchState>();
  Watched->Prefix = Prefix;
  Watched->FromRevision = FromRevision;
  Watched->Changed = std::move(Changed);
  Watched->Ended = std::move(Ended);
  auto &Watches = this->Shared->Watches;
  Watches.erase(std::remove_if(Watches.begin(), Watches.end(),
                               [](const auto &Weak) { return Weak.expired(); }),
                Watches.end());
  Watches.push_back(Watched);
  this->Shared->Exec.runAfter(
      this->Shared->Latency,
      [Self = this->Shared, Watched] { Self->openWatch(Watched); });
  return std::make_unique<Watch>(Watched);
}

void FakeStore::setLatency(absl::Duration Value) {
  this->Shared->Latency = Value;
}

void FakeStore::setTimeout(absl::Duration Value) {
  this->Shared->Timeout = Value;
}

void FakeStore::setDown(bool Value) {
  this->Shared->Down = Value;
  if (Value)
    this->breakWatches();
}

void FakeStore::setPartitioned(bool Value) {
  this->Shared->Partitioned = Value;
}

void FakeStore::failCalls(int Count) {
  this->Shared->CallsToFail = Count;
}

void FakeStore::loseAnswers(int Count) {
  this->Shared->AnswersToLose = Count;
}

void FakeStore::setStaleReads(int64_t RevisionsBehind) {
  this->Shared->StaleRevisions = RevisionsBehind;
}

void FakeStore::breakWatches() {
  for (const std::weak_ptr<WatchState> &Weak : this->Shared->Watches)
    if (auto Watched = Weak.lock())
      this->Shared->endWatch(Watched);
}

void FakeStore::setWatchesSilent(bool Value) {
  this->Shared->WatchesSilent = Value;
}

const FakeStore::CallCounts &FakeStore::counts() const {
  return this->Shared->Counts;
}

FakeStoreData &FakeStore::data() {
  return *this->Shared->Data;
}

std::shared_ptr<FakeStoreData> FakeStore::sharedData() const {
  return this->Shared->Data;
}

} // namespace vanillayard
