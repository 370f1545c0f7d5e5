#include "net/LoopExecutor.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <map>
#include <uv.h>
#include <vector>

namespace vanillayard {

using TimerKey = std::pair<absl::Time, Executor::TimerId>;

class LoopExecutor::Impl {
public:
  Impl();
  ~Impl();

  absl::Time now() const;
  void runPosted();
  void runDueTimers();
  void armTimer();

  /// Allocated on the heap, so that the loop can outlive the executor while a
  /// library still has open handles in it.
  uv_loop_t *Loop;
  uv_async_t *Wakeup;
  uv_timer_t *Timer;
  std::vector<uv_signal_t *> Signals;
  std::deque<std::function<void()>> Ready;
  std::map<TimerKey, std::function<void()>> Timers;
  absl::flat_hash_map<TimerId, absl::Time> DueTimes;
  TimerId NextTimer = 1;
  absl::Time WallTimeAtStart = absl::Now();
  uint64_t MonotonicNsAtStart = uv_hrtime();
};

template <typename Handle> static void closeHandle(Handle *H) {
  uv_close(reinterpret_cast<uv_handle_t *>(H), [](uv_handle_t *Closed) {
    delete reinterpret_cast<Handle *>(Closed);
  });
}

LoopExecutor::Impl::Impl()
    : Loop(new uv_loop_t), Wakeup(new uv_async_t), Timer(new uv_timer_t) {
  uv_loop_init(this->Loop);
  this->Wakeup->data = this;
  uv_async_init(this->Loop, this->Wakeup, [](uv_async_t *Handle) {
    static_cast<Impl *>(Handle->data)->runPosted();
  });
  this->Timer->data = this;
  uv_timer_init(this->Loop, this->Timer);
}

LoopExecutor::Impl::~Impl() {
  closeHandle(this->Wakeup);
  closeHandle(this->Timer);
  for (uv_signal_t *Signal : this->Signals)
    closeHandle(Signal);
  // Runs the close callbacks, which free the handles.
  constexpr int CloseIterations = 4;
  for (int I = 0; I < CloseIterations; ++I)
    uv_run(this->Loop, UV_RUN_NOWAIT);
  // h2o may keep handles of its own open; the loop is then never freed.
  if (uv_loop_close(this->Loop) == 0)
    delete this->Loop;
}

absl::Time LoopExecutor::Impl::now() const {
  return this->WallTimeAtStart +
         absl::Nanoseconds(uv_hrtime() - this->MonotonicNsAtStart);
}

void LoopExecutor::Impl::runPosted() {
  // Work that is posted meanwhile runs in the next iteration of the loop, so
  // that work that keeps posting does not starve socket I/O.
  size_t Count = this->Ready.size();
  for (size_t I = 0; I < Count && !this->Ready.empty(); ++I) {
    std::function<void()> Work = std::move(this->Ready.front());
    this->Ready.pop_front();
    Work();
  }
  if (!this->Ready.empty())
    uv_async_send(this->Wakeup);
}

void LoopExecutor::Impl::runDueTimers() {
  absl::Time Now = this->now();
  while (!this->Timers.empty() && this->Timers.begin()->first.first <= Now) {
    auto First = this->Timers.begin();
    std::function<void()> Work = std::move(First->second);
    this->DueTimes.erase(First->first.second);
    this->Timers.erase(First);
    Work();
  }
  this->armTimer();
}

void LoopExecutor::Impl::armTimer() {
  if (this->Timers.empty()) {
    uv_timer_stop(this->Timer);
    return;
  }
  absl::Duration Wait = this->Timers.begin()->first.first - this->now();
  int64_t Ms = absl::ToInt64Milliseconds(
      absl::Ceil(std::max(Wait, absl::ZeroDuration()), absl::Milliseconds(1)));
  uv_update_time(this->Loop);
  uv_timer_start(
      this->Timer,
      [](uv_timer_t *Handle) {
        static_cast<Impl *>(Handle->data)->runDueTimers();
      },
      static_cast<uint64_t>(Ms), 0);
}

LoopExecutor::LoopExecutor() : Implementation(std::make_unique<Impl>()) {}
LoopExecutor::~LoopExecutor() = default;

absl::Time LoopExecutor::now() const {
  return this->Implementation->now();
}

void LoopExecutor::post(std::function<void()> Work) {
  Impl &I = *this->Implementation;
  bool WasEmpty = I.Ready.empty();
  I.Ready.push_back(std::move(Work));
  if (WasEmpty)
    uv_async_send(I.Wakeup);
}

Executor::TimerId LoopExecutor::runAfter(absl::Duration Delay,
                                         std::function<void()> Work) {
  Impl &I = *this->Implementation;
  TimerId Id = I.NextTimer++;
  absl::Time Due = I.now() + std::max(Delay, absl::ZeroDuration());
  bool IsFirst = I.Timers.empty() || Due < I.Timers.begin()->first.first;
  I.Timers.emplace(TimerKey(Due, Id), std::move(Work));
  I.DueTimes.emplace(Id, Due);
  if (IsFirst)
    I.armTimer();
  return Id;
}

void LoopExecutor::cancel(TimerId Timer) {
  Impl &I = *this->Implementation;
  auto Found = I.DueTimes.find(Timer);
  if (Found == I.DueTimes.end())
    return;
  I.Timers.erase(TimerKey(Found->second, Timer));
  I.DueTimes.erase(Found);
}

void LoopExecutor::run() {
  uv_run(this->Implementation->Loop, UV_RUN_DEFAULT);
}

void LoopExecutor::stop() {
  uv_stop(this->Implementation->Loop);
}

void LoopExecutor::onSignal(int Signal, std::function<void()> Work) {
  Impl &I = *this->Implementation;
  auto *Handle = new uv_signal_t;
  // Never freed: signal handlers are set up once, at start, and stay until the
  // process ends.
  Handle->data = new std::function<void()>(std::move(Work));
  uv_signal_init(I.Loop, Handle);
  uv_signal_start(
      Handle,
      [](uv_signal_t *H, int) {
        (*static_cast<std::function<void()> *>(H->data))();
      },
      Signal);
  I.Signals.push_back(Handle);
}

uv_loop_s *LoopExecutor::loop() {
  return this->Implementation->Loop;
}

} // namespace vanillayard
