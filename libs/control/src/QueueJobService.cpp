#include "control/QueueJobService.h"

#include "base/ErrorKind.h"
#include "base/JsonText.h"
#include "control/RecordKeys.h"
#include "fleet/BatchJobCodec.h"
#include "fleet/JobProgressCodec.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "store/CoordinationStore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace vanillayard {

/// Length of a job id in hexadecimal digits.
static constexpr size_t JobIdDigits = 16;
/// Part of the caller's deadline that is reserved for the answer to arrive.
static constexpr absl::Duration AnswerMargin = absl::Milliseconds(250);
/// Upper bound of AnswerMargin and of UnavailableRetryTime as a share of the
/// deadline, which applies to short deadlines.
static constexpr double DeadlineShare = 0.25;
/// How long calls are retried after the store has begun to refuse them, as some
/// failures are brief. After that, calls are refused on the store's first
/// refusal, so that their callers can try another host.
static constexpr absl::Duration UnavailableRetryTime = absl::Milliseconds(700);
/// Delay before a call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
/// When a caller should retry after a refusal because the store is unavailable.
/// Outages last for seconds.
static constexpr absl::Duration UnavailableRetryAfter = absl::Seconds(2);
static constexpr absl::Duration NotReadyRetryAfter = absl::Seconds(1);

namespace {

/// A caller's request whose store operation is retried until it is answered.
struct RetriedCall {
  std::string Operation;
  JobId Job;
  ClientAccountId Account;
  std::string Queue;
  absl::Time Began;
  /// When the request fails if the store has not answered.
  absl::Time GiveUpAt;
  /// When the request fails if the store has refused every attempt.
  absl::Time RefuseAt;
  /// An earlier attempt may have taken effect, as its outcome is unknown.
  bool MayHaveTakenEffect = false;
  /// The caller has been answered; no further attempt is made. Shared by all
  /// copies of this object.
  std::shared_ptr<bool> IsAnswered = std::make_shared<bool>(false);
};

/// The queue, account and job that a request refers to.
struct ResolvedCall {
  const Queue *Target = nullptr;
  ClientAccountId Account;
  JobId Job;
};

} // namespace

class QueueJobService::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, Log &Events,
       Metrics &MetricRegistry)
      : Exec(Exec), Store(Store), Events(Events),
        MetricRegistry(MetricRegistry) {}

  absl::StatusOr<ResolvedCall> resolveQueue(const CallContext &Caller) const;
  absl::StatusOr<ResolvedCall> resolveJob(const CallContext &Caller) const;
  RetriedCall startCall(std::string Operation, const ResolvedCall &Resolved,
                        const CallContext &Caller) const;

  /// Wraps \p Done so that it runs once: with the store's answer, or with
  /// OutcomeUnknown at GiveUpAt if no answer has arrived by then.
  template <typename Callback>
  Callback withDeadline(const RetriedCall &Call, Callback Done);

  /// Runs \p Again after RetryDelay if time is left for another attempt.
  /// \returns the final error otherwise.
  std::optional<absl::Status>
  retryLater(RetriedCall &Call, const absl::Status &Error,
             std::function<void(Impl &, RetriedCall)> Again);
  /// Ends the recorded outage when the store has served a call.
  void noteStoreAnswer(const absl::Status &Status) {
    if (Status.ok())
      this->RefusedSince = absl::InfiniteFuture();
  }
  void createJob(RetriedCall Call, StoreTransaction Records,
                 ClientAccountId Account, DoneCallback Done);
  void readState(RetriedCall Call, StateCallback Done);
  void writeCancel(RetriedCall Call, DoneCallback Done);
  void readWaiting(RetriedCall Call, std::string QueueName, CountCallback Done);
  absl::Status checkExistingJob(const StoreCommit &Result,
                                const RetriedCall &Call,
                                const ClientAccountId &Account) const;
  int64_t configurationVersion() const;
  /// Logs and measures a request that passed the first checks.
  void logCall(const RetriedCall &Call, std::string_view Outcome,
               const absl::Status &Status);
  /// Counts a request that passed the first checks, and records the time to its
  /// answer.
  void measureCall(const RetriedCall &Call, const absl::Status &Status);
  /// Logs and counts a request that fails the first checks.
  void logRefusal(std::string_view Operation, const CallContext &Caller,
                  const absl::Status &Status);
  void countCall(const std::string &Operation, const std::string &Account,
                 const std::string &Queue, const absl::Status &Status);

  Executor &Exec;
  CoordinationStore &Store;
  Log &Events;
  Metrics &MetricRegistry;
  std::shared_ptr<const QueueTable> Table;
  /// When the store began to refuse calls; InfiniteFuture while it serves them.
  absl::Time RefusedSince = absl::InfiniteFuture();
};

absl::StatusOr<ResolvedCall>
QueueJobService::Impl::resolveQueue(const CallContext &Caller) const {
  if (!this->Table)
    return makeError(ErrorKind::NotReady, "this host has no configuration yet",
                     NotReadyRetryAfter);
  const Queue *Target = this->Table->findQueue(Caller.HostName, Caller.Path);
  if (!Target)
    return makeError(ErrorKind::NotFound, "no queue at this host and path");
  ResolvedCall Resolved{Target, {}, {}};
  const AccountSettings *Account = this->Table->findAccountByKey(Caller.ApiKey);
  if (Account)
    Resolved.Account = Account->Id;
  else if (!Target->IsPublic)
    return makeError(ErrorKind::Unauthenticated, "the API key is not known");
  return Resolved;
}

absl::StatusOr<ResolvedCall>
QueueJobService::Impl::resolveJob(const CallContext &Caller) const {
  absl::StatusOr<ResolvedCall> Resolved = this->resolveQueue(Caller);
  if (!Resolved.ok())
    return Resolved;
  std::string Id = Caller.Path.substr(Resolved->Target->PathPrefix.size());
  bool IsHex = std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
    return std::isxdigit(C) != 0;
  });
  if (Id.size() != JobIdDigits || !IsHex)
    return makeError(ErrorKind::InvalidRequest,
                     "expected a job id of 16 hexadecimal digits");
  Resolved->Job = JobId(Id);
  return Resolved;
}

RetriedCall QueueJobService::Impl::startCall(std::string Operation,
                                             const ResolvedCall &Resolved,
                                             const CallContext &Caller) const {
  absl::Duration Time = Resolved.Target->CallTimeout;
  if (Caller.Deadline > absl::ZeroDuration())
    Time = std::min(Time, Caller.Deadline);
  absl::Duration Margin = std::min(AnswerMargin, DeadlineShare * Time);
  absl::Time Now = this->Exec.now();
  absl::Duration RetryTime =
      std::min(UnavailableRetryTime, DeadlineShare * Time);
  return {.Operation = std::move(Operation),
          .Job = Resolved.Job,
          .Account = Resolved.Account,
          .Queue = Resolved.Target->Name,
          .Began = Now,
          .GiveUpAt = Now + Time - Margin,
          .RefuseAt = Now + RetryTime};
}

static std::string errorNameOf(const absl::Status &Status) {
  return Status.ok() ? "none"
                     : std::string(errorKindInfo(errorKindOf(Status)).Name);
}

int64_t QueueJobService::Impl::configurationVersion() const {
  return this->Table ? this->Table->configuration().Version : 0;
}

void QueueJobService::Impl::logCall(const RetriedCall &Call,
                                    std::string_view Outcome,
                                    const absl::Status &Status) {
  this->Events.write(LogLevel::Info, "caller", Call.Operation,
                     {{"job", Call.Job},
                      {"outcome", Outcome},
                      {"error", errorNameOf(Status)},
                      {"configuration", this->configurationVersion()},
                      {"took", this->Exec.now() - Call.Began}},
                     fmt::format("{}: {}", Call.Operation, Call.Job.str()));
  this->measureCall(Call, Status);
}

void QueueJobService::Impl::measureCall(const RetriedCall &Call,
                                        const absl::Status &Status) {
  this->countCall(Call.Operation, Call.Account.str(), Call.Queue, Status);
  this->MetricRegistry
      .histogram("vanillayard_call_seconds",
                 "time to the answer of callers' calls",
                 {{"call", Call.Operation}})
      .record(this->Exec.now() - Call.Began);
}

void QueueJobService::Impl::logRefusal(std::string_view Operation,
                                       const CallContext &Caller,
                                       const absl::Status &Status) {
  // The rate key leaves out the path, which callers choose freely, so that all
  // lines with the same operation and error share one rate limit.
  this->Events.write(LogLevel::Info, "caller", Operation,
                     {{"job", Caller.Path.substr(Caller.Path.rfind('/') + 1)},
                      {"outcome", "refused"},
                      {"error", errorNameOf(Status)},
                      {"detail", std::string(Status.message())},
                      {"path", Caller.Path},
                      {"configuration", this->configurationVersion()}},
                     fmt::format("{}: {}", Operation, errorNameOf(Status)));
  this->countCall(std::string(Operation), "", "", Status);
}

void QueueJobService::Impl::countCall(const std::string &Operation,
                                      const std::string &Account,
                                      const std::string &Queue,
                                      const absl::Status &Status) {
  this->MetricRegistry
      .counter("vanillayard_calls_total",
               "callers' calls by kind, client account, queue and error",
               {{"call", Operation},
                {"account", Account},
                {"queue", Queue},
                {"error", errorNameOf(Status)}})
      .add();
}

template <typename Callback>
Callback QueueJobService::Impl::withDeadline(const RetriedCall &Call,
                                             Callback Done) {
  auto Pending = std::make_shared<Callback>(std::move(Done));
  auto TakeDone = [Pending] { return std::exchange(*Pending, nullptr); };
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Exec.runAfter(Call.GiveUpAt - this->Exec.now(), [Weak, TakeDone, Call] {
    std::shared_ptr<Impl> Self = Weak.lock();
    Callback Late = TakeDone();
    if (!Self || !Late)
      return;
    absl::Status Unknown = makeError(ErrorKind::OutcomeUnknown,
                                     "the store did not answer in time");
    Self->logCall(Call, "no answer in time", Unknown);
    *Call.IsAnswered = true;
    Late(Unknown);
  });
  return [TakeDone](auto Answer) {
    if (Callback First = TakeDone())
      First(std::move(Answer));
  };
}

std::optional<absl::Status> QueueJobService::Impl::retryLater(
    RetriedCall &Call, const absl::Status &Error,
    std::function<void(Impl &, RetriedCall)> Again) {
  absl::Time Now = this->Exec.now();
  if (*Call.IsAnswered)
    return Error;
  bool IsUnavailable = errorKindOf(Error) == ErrorKind::PlatformUnavailable;
  Call.MayHaveTakenEffect |= !IsUnavailable;
  if (IsUnavailable)
    this->RefusedSince = std::min(this->RefusedSince, Now);
  absl::Time GiveUpAt = Call.GiveUpAt;
  if (!Call.MayHaveTakenEffect)
    GiveUpAt = std::min(
        {GiveUpAt, Call.RefuseAt, this->RefusedSince + UnavailableRetryTime});
  if (Now + RetryDelay < GiveUpAt) {
    std::weak_ptr<Impl> Weak = this->weak_from_this();
    this->Exec.runAfter(RetryDelay, [Weak, Call, Again = std::move(Again)] {
      if (std::shared_ptr<Impl> Self = Weak.lock())
        Again(*Self, Call);
    });
    return std::nullopt;
  }
  if (Call.MayHaveTakenEffect)
    return makeError(ErrorKind::OutcomeUnknown,
                     "the store did not answer in time");
  return makeError(ErrorKind::PlatformUnavailable, "the store is unavailable",
                   UnavailableRetryAfter);
}

/// Decides what a submission with an existing job id is: a repetition by the
/// same account, which succeeds, or a conflict with another account's job.
absl::Status
QueueJobService::Impl::checkExistingJob(const StoreCommit &Result,
                                        const RetriedCall &Call,
                                        const ClientAccountId &Account) const {
  for (const StoreItem &Item : Result.Found) {
    if (Item.Key != RecordKeys::job(Call.Job))
      continue;
    absl::StatusOr<BatchJob> Job = decodeBatchJob(Item.Value);
    if (Job.ok() && Job->Account != Account)
      return makeError(ErrorKind::Conflict,
                       "the job id belongs to another account's job");
  }
  return absl::OkStatus();
}

void QueueJobService::Impl::createJob(RetriedCall Call,
                                      StoreTransaction Records,
                                      ClientAccountId Account,
                                      DoneCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  StoreTransaction Sent = Records;
  this->Store.commit(
      std::move(Sent),
      [Weak, Call = std::move(Call), Records = std::move(Records),
       Account = std::move(Account),
       Done = std::move(Done)](absl::StatusOr<StoreCommit> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteStoreAnswer(Result.status());
        absl::Status Outcome = absl::OkStatus();
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retryLater(
              Call, Result.status(),
              [Records, Account, Done](Impl &Instance, RetriedCall Next) {
                Instance.createJob(std::move(Next), Records, Account, Done);
              });
          if (!Final)
            return;
          Outcome = *Final;
        } else if (!Result->IsApplied) {
          Outcome = Self->checkExistingJob(*Result, Call, Account);
        }
        Self->logCall(Call, Outcome.ok() ? "accepted" : "refused", Outcome);
        Done(Outcome);
      });
}

void QueueJobService::Impl::readState(RetriedCall Call, StateCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  std::string Key = RecordKeys::progress(Call.Job);
  this->Store.get(
      Key, [Weak, Call = std::move(Call), Done = std::move(Done)](
               absl::StatusOr<std::optional<StoreItem>> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteStoreAnswer(Result.status());
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retryLater(
              Call, Result.status(), [Done](Impl &Instance, RetriedCall Next) {
                Instance.readState(std::move(Next), Done);
              });
          if (Final) {
            Self->logCall(Call, "no answer", *Final);
            Done(*Final);
          }
          return;
        }
        if (!Result->has_value()) {
          absl::Status Gone = makeError(ErrorKind::Gone, "no such job");
          Self->logCall(Call, "gone", Gone);
          return Done(Gone);
        }
        absl::StatusOr<ProgressSummary> Summary =
            decodeProgressSummary((*Result)->Value);
        if (!Summary.ok()) {
          Self->logCall(Call, "unreadable", Summary.status());
          return Done(Summary.status());
        }
        // A cancel reads the state first and is measured as a whole.
        if (Call.Operation == "state")
          Self->measureCall(Call, absl::OkStatus());
        Done(Summary->State);
      });
}

void QueueJobService::Impl::writeCancel(RetriedCall Call, DoneCallback Done) {
  StoreTransaction Record;
  Record.Conditions.push_back({RecordKeys::cancel(Call.Job), 0});
  Record.Puts.push_back({RecordKeys::cancel(Call.Job), "cancelled", 0});
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.commit(
      std::move(Record), [Weak, Call = std::move(Call), Done = std::move(Done)](
                             absl::StatusOr<StoreCommit> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteStoreAnswer(Result.status());
        absl::Status Outcome = absl::OkStatus();
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retryLater(
              Call, Result.status(), [Done](Impl &Instance, RetriedCall Next) {
                Instance.writeCancel(std::move(Next), Done);
              });
          if (!Final)
            return;
          Outcome = *Final;
        }
        Self->logCall(Call, Outcome.ok() ? "recorded" : "no answer", Outcome);
        Done(Outcome);
      });
}

void QueueJobService::Impl::readWaiting(RetriedCall Call, std::string QueueName,
                                        CountCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.get(
      std::string(RecordKeys::Waiting),
      [Weak, Call = std::move(Call), QueueName = std::move(QueueName),
       Done = std::move(Done)](
          absl::StatusOr<std::optional<StoreItem>> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteStoreAnswer(Result.status());
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retryLater(
              Call, Result.status(),
              [QueueName, Done](Impl &Instance, RetriedCall Next) {
                Instance.readWaiting(std::move(Next), QueueName, Done);
              });
          if (Final) {
            Self->logCall(Call, "no answer", *Final);
            Done(*Final);
          }
          return;
        }
        Self->measureCall(Call, absl::OkStatus());
        if (!Result->has_value())
          return Done(0);
        auto Counts = parseUntrustedJson((*Result)->Value);
        if (!Counts.is_object())
          return Done(
              makeError(ErrorKind::Internal,
                        "the record of waiting jobs cannot be decoded"));
        auto Found = Counts.find(QueueName);
        bool HasCount = Found != Counts.end() && Found->is_number_integer();
        Done(HasCount ? Found->get<int64_t>() : 0);
      });
}

QueueJobService::QueueJobService(Executor &Exec, CoordinationStore &Store,
                                 Log &Events, Metrics &MetricRegistry)
    : Implementation(
          std::make_shared<Impl>(Exec, Store, Events, MetricRegistry)) {}

QueueJobService::~QueueJobService() = default;

void QueueJobService::configurationChanged(
    std::shared_ptr<const QueueTable> Newer) {
  this->Implementation->Table = std::move(Newer);
}

bool QueueJobService::hasConfiguration() const {
  return this->Implementation->Table != nullptr;
}

absl::Status QueueJobService::checkSubmission(const CallContext &Caller,
                                              size_t HeaderBytes,
                                              size_t BodyBytes) const {
  Impl &I = *this->Implementation;
  absl::Status Refusal = I.resolveJob(Caller).status();
  if (Refusal.ok() && HeaderBytes > I.Table->configuration().MaxHeaderBytes)
    Refusal = makeError(ErrorKind::HeadersTooLarge,
                        "the headers exceed the configured limit");
  if (Refusal.ok() && BodyBytes > I.Table->configuration().MaxBodyBytes)
    Refusal = makeError(ErrorKind::PayloadTooLarge,
                        "the body exceeds the configured limit");
  if (!Refusal.ok())
    I.logRefusal("submit", Caller, Refusal);
  return Refusal;
}

bool QueueJobService::isQueuePath(const CallContext &Caller) const {
  const auto &Table = this->Implementation->Table;
  const Queue *Target =
      Table ? Table->findQueue(Caller.HostName, Caller.Path) : nullptr;
  return Target && Target->PathPrefix == Caller.Path;
}

void QueueJobService::submit(const CallContext &Caller,
                             absl::StatusOr<BatchJob> Described,
                             DoneCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  absl::Status Refusal = Resolved.ok() ? Described.status() : Resolved.status();
  if (!Refusal.ok()) {
    I.logRefusal("submit", Caller, Refusal);
    return Done(Refusal);
  }
  BatchJob Draft = *std::move(Described);
  const Queue &Target = *Resolved->Target;
  RetriedCall Call = I.startCall("submit", *Resolved, Caller);
  Draft.Id = Resolved->Job;
  Draft.Queue = Target.Name;
  Draft.Account = Resolved->Account;
  Draft.WorkerPool = Target.WorkerPool;
  Draft.Priority = Target.Priority;
  Draft.MaxAttempts = Target.MaxAttempts;
  Draft.Stretch = Target.Stretch;
  Draft.TargetLatency = Target.TargetLatency;
  Draft.Submitted = I.Exec.now();
  absl::Status Fault = validate(Draft);
  if (Fault.ok() && Target.NeedsAdvice)
    Fault = makeError(ErrorKind::Unsupported,
                      "queues with an advice service are not supported");
  if (!Fault.ok()) {
    I.logCall(Call, "refused", Fault);
    return Done(Fault);
  }
  StoreTransaction Records;
  std::string JobKey = RecordKeys::job(Draft.Id);
  std::string ProgressKey = RecordKeys::progress(Draft.Id);
  Records.Conditions = {{JobKey, 0}, {ProgressKey, 0}};
  Records.Puts = {{JobKey, encodeBatchJob(Draft), 0},
                  {ProgressKey, encodeProgress(Draft, JobProgress(Draft)), 0}};
  DoneCallback Bounded = I.withDeadline(Call, std::move(Done));
  I.createJob(std::move(Call), std::move(Records), Resolved->Account,
              std::move(Bounded));
}

void QueueJobService::readState(const CallContext &Caller, StateCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("state", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  RetriedCall Call = I.startCall("state", *Resolved, Caller);
  StateCallback Bounded = I.withDeadline(Call, std::move(Done));
  I.readState(std::move(Call), std::move(Bounded));
}

void QueueJobService::cancel(const CallContext &Caller, DoneCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("cancel", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  RetriedCall Call = I.startCall("cancel", *Resolved, Caller);
  std::weak_ptr<Impl> Weak = this->Implementation;
  DoneCallback Bounded = I.withDeadline(Call, std::move(Done));
  I.readState(Call, [Weak, Call, Done = std::move(Bounded)](
                        absl::StatusOr<BatchState> State) {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self)
      return;
    if (!State.ok())
      return Done(State.status());
    if (*State == BatchState::Cancelled) {
      Self->logCall(Call, "already cancelled", absl::OkStatus());
      return Done(absl::OkStatus());
    }
    if (isFinal(*State)) {
      absl::Status Ended =
          makeError(ErrorKind::Gone, "the job has already ended");
      Self->logCall(Call, "already ended", Ended);
      return Done(Ended);
    }
    Self->writeCancel(Call, Done);
  });
}

void QueueJobService::countWaitingJobs(const CallContext &Caller,
                                       CountCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveQueue(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("waiting", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  RetriedCall Call = I.startCall("waiting", *Resolved, Caller);
  CountCallback Bounded = I.withDeadline(Call, std::move(Done));
  I.readWaiting(std::move(Call), Resolved->Target->Name, std::move(Bounded));
}

} // namespace vanillayard
