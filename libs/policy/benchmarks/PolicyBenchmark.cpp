#include "policy/AdmissionQueue.h"
#include "policy/WorkerSelector.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace vanillayard;

static constexpr size_t QueuedItems = 100000;
static constexpr size_t WorkerCount = 920;
static const absl::Time Start = absl::FromUnixSeconds(1000000);

static std::vector<QueueItem> makeItems() {
  static const char *const Kinds[] = {"price-check", "cut-sheet",
                                      "photo-match"};
  std::vector<QueueItem> Items;
  for (size_t I = 0; I < QueuedItems; ++I)
    Items.push_back({KindOfWorkId(Kinds[I % 3]),
                     ClientAccountId("account" + std::to_string(I % 120)),
                     CallerId("caller" + std::to_string(I % 997)),
                     Start + absl::Seconds(10 + I % 50), I, 1});
  return Items;
}

static QueueSettings benchmarkSettings() {
  QueueSettings Settings;
  Settings.MaxQueued = 4 * QueuedItems;
  return Settings;
}

static QueueOrder orderOf(const benchmark::State &State) {
  return static_cast<QueueOrder>(State.range(0));
}

// Measures a pop and a push with 100,000 items queued.
static void pushPop(benchmark::State &State) {
  auto Queue = AdmissionQueue::create(orderOf(State), benchmarkSettings());
  std::vector<QueueItem> Items = makeItems();
  for (const QueueItem &Item : Items)
    benchmark::DoNotOptimize(Queue->push(Item, Start).ok());
  size_t Next = 0;
  for (auto _ : State) {
    benchmark::DoNotOptimize(Queue->pop(Start, false));
    benchmark::DoNotOptimize(
        Queue->push(Items[Next++ % QueuedItems], Start).ok());
  }
  State.SetLabel(std::string(QueueOrderNames.nameOf(orderOf(State))));
}
BENCHMARK(pushPop)->Arg(0)->Arg(1);

// Measures a cancel and a push with 100,000 items queued.
static void cancelPush(benchmark::State &State) {
  auto Queue = AdmissionQueue::create(orderOf(State), benchmarkSettings());
  std::vector<QueueItem> Items = makeItems();
  std::vector<AdmissionQueue::Handle> Handles;
  Handles.reserve(QueuedItems);
  for (const QueueItem &Item : Items)
    Handles.push_back(*Queue->push(Item, Start));
  size_t Next = 0;
  for (auto _ : State) {
    size_t Index = Next++ % QueuedItems;
    benchmark::DoNotOptimize(Queue->cancel(Handles[Index]));
    Handles[Index] = *Queue->push(Items[Index], Start);
  }
}
BENCHMARK(cancelPush)->Arg(0)->Arg(1);

// Measures the longest pause that cancels can cause: cancels all queued items,
// then pops once.
static void cancelWave(benchmark::State &State) {
  std::vector<QueueItem> Items = makeItems();
  for (auto _ : State) {
    State.PauseTiming();
    auto Queue = AdmissionQueue::create(orderOf(State), benchmarkSettings());
    std::vector<AdmissionQueue::Handle> Handles;
    Handles.reserve(QueuedItems);
    for (const QueueItem &Item : Items)
      Handles.push_back(*Queue->push(Item, Start));
    State.ResumeTiming();
    for (AdmissionQueue::Handle Handle : Handles)
      Queue->cancel(Handle);
    benchmark::DoNotOptimize(Queue->pop(Start, false));
    State.PauseTiming();
    Queue.reset();
    State.ResumeTiming();
  }
}
BENCHMARK(cancelWave)->Arg(0)->Arg(1)->Unit(benchmark::kMillisecond);

// Measures the choice among 920 workers. The argument is the percentage of
// usable workers.
static void pickWorker(benchmark::State &State) {
  auto Selector = WorkerSelector::create(WorkerChoice::PowerOfTwo, 42);
  std::vector<WorkerCandidate> Workers(WorkerCount);
  for (size_t I = 0; I < WorkerCount; ++I)
    if (I * 100 < WorkerCount * static_cast<size_t>(State.range(0)))
      Workers[I] = {static_cast<int>(1 + I % 8), 0, 0, 8, false};
  for (auto _ : State)
    benchmark::DoNotOptimize(Selector->pick(Workers, {}));
}
BENCHMARK(pickWorker)->Arg(100)->Arg(10)->Arg(0);
