#include "control/CallerDesk.h"

#include "base/ErrorKind.h"
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

/// A job's id is that many hexadecimal digits.
static constexpr size_t JobIdDigits = 16;
/// Kept back from the caller's deadline for the answer to arrive.
static constexpr absl::Duration AnswerTime = absl::Milliseconds(250);
/// Largest share of a short deadline that is kept back, and that a call is
/// tried again for while the store refuses it.
static constexpr double DeadlineShare = 0.25;
/// How long calls are tried again once the store has begun to refuse them, as
/// some failures are over in a moment. Later calls are refused at once, so that
/// their callers can go elsewhere.
static constexpr absl::Duration UnavailablePatience = absl::Milliseconds(700);
/// Pause before a call to the store is tried again.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
/// When a caller that was refused for want of the store should come again.
/// Outages last for seconds.
static constexpr absl::Duration UnavailableRetryAfter = absl::Seconds(2);
static constexpr absl::Duration NotReadyRetryAfter = absl::Seconds(1);

namespace {

/// One call to the store that is tried again until it is answered.
struct Attempt {
  std::string Call;
  JobId Job;
  ClientAccountId Account;
  /// Name of the queue.
  std::string Queue;
  absl::Time Began;
  absl::Time GiveUpAt;
  /// When it is given up if the store has only refused it.
  absl::Time RefuseAt;
  /// An earlier try may have had an effect.
  bool MayHaveRun = false;
  /// The caller has its answer; what comes later is of no use to it.
  std::shared_ptr<bool> IsAnswered = std::make_shared<bool>(false);
};

/// A call whose queue and account are known.
struct ResolvedCall {
  const Queue *Target = nullptr;
  ClientAccountId Account;
  JobId Job;
};

} // namespace

class CallerDesk::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, Log &Events, Metrics &Figures)
      : Exec(Exec), Store(Store), Events(Events), Figures(Figures) {}

  absl::StatusOr<ResolvedCall> resolve(const CallerIdentity &Caller) const;
  absl::StatusOr<ResolvedCall> resolveJob(const CallerIdentity &Caller) const;
  Attempt attempt(std::string Call, const ResolvedCall &Resolved,
                  const CallerIdentity &Caller) const;

  /// Answers at the attempt's end if the store has not answered by then. Only
  /// the first answer counts.
  template <typename Callback>
  Callback bounded(const Attempt &Try, Callback Done);

  /// Runs \p Again later if the failure may pass in time.
  /// \returns the final error otherwise.
  std::optional<absl::Status> retry(Attempt &Try, const absl::Status &Error,
                                    std::function<void(Impl &, Attempt)> Again);
  /// A call that the store has served ends an outage.
  void noteAnswer(const absl::Status &Status) {
    if (Status.ok())
      this->RefusedSince = absl::InfiniteFuture();
  }
  void create(Attempt Try, StoreTransaction Records, ClientAccountId Account,
              DoneCallback Done);
  void readState(Attempt Try, StateCallback Done);
  void writeCancel(Attempt Try, DoneCallback Done);
  void readWaiting(Attempt Try, std::string QueueName, CountCallback Done);
  absl::Status existing(const StoreCommit &Result, const Attempt &Try,
                        const ClientAccountId &Account) const;
  int64_t version() const;
  /// Logs and counts a call that reached the store.
  void log(const Attempt &Try, std::string_view Outcome,
           const absl::Status &Status);
  /// Logs and counts a call that is refused before that.
  void logRefusal(std::string_view Call, const CallerIdentity &Caller,
                  const absl::Status &Status);
  void count(const std::string &Call, const std::string &Account,
             const std::string &Queue, const absl::Status &Status);

  Executor &Exec;
  CoordinationStore &Store;
  Log &Events;
  Metrics &Figures;
  std::shared_ptr<const QueueTable> Table;
  /// Since when the store has only refused calls.
  absl::Time RefusedSince = absl::InfiniteFuture();
};

absl::StatusOr<ResolvedCall>
CallerDesk::Impl::resolve(const CallerIdentity &Caller) const {
  if (!this->Table)
    return makeError(ErrorKind::NotReady, "no configuration yet",
                     NotReadyRetryAfter);
  const Queue *Target = this->Table->find(Caller.HostName, Caller.Path);
  if (!Target)
    return makeError(ErrorKind::NotFound, "no queue at this host and path");
  ResolvedCall Resolved{Target, {}, {}};
  const AccountTerms *Account = this->Table->accountOf(Caller.ApiKey);
  if (Account)
    Resolved.Account = Account->Id;
  else if (!Target->IsPublic)
    return makeError(ErrorKind::Unauthenticated, "unknown key");
  return Resolved;
}

absl::StatusOr<ResolvedCall>
CallerDesk::Impl::resolveJob(const CallerIdentity &Caller) const {
  absl::StatusOr<ResolvedCall> Resolved = this->resolve(Caller);
  if (!Resolved.ok())
    return Resolved;
  std::string Id = Caller.Path.substr(Resolved->Target->PathPrefix.size());
  bool IsHex = std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
    return std::isxdigit(C) != 0;
  });
  if (Id.size() != JobIdDigits || !IsHex)
    return makeError(ErrorKind::InvalidRequest,
                     "a job's id is 16 hexadecimal digits");
  Resolved->Job = JobId(Id);
  return Resolved;
}

Attempt CallerDesk::Impl::attempt(std::string Call,
                                  const ResolvedCall &Resolved,
                                  const CallerIdentity &Caller) const {
  absl::Duration Time = Resolved.Target->CallTimeout;
  if (Caller.Deadline > absl::ZeroDuration())
    Time = std::min(Time, Caller.Deadline);
  absl::Duration KeptBack = std::min(AnswerTime, DeadlineShare * Time);
  absl::Time Now = this->Exec.now();
  absl::Duration Patience = std::min(UnavailablePatience, DeadlineShare * Time);
  return {.Call = std::move(Call),
          .Job = Resolved.Job,
          .Account = Resolved.Account,
          .Queue = Resolved.Target->Name,
          .Began = Now,
          .GiveUpAt = Now + Time - KeptBack,
          .RefuseAt = Now + Patience};
}

static std::string outcomeOf(const absl::Status &Status) {
  return Status.ok() ? "none"
                     : std::string(answerFor(errorKindOf(Status)).Name);
}

int64_t CallerDesk::Impl::version() const {
  return this->Table ? this->Table->configuration().Version : 0;
}

void CallerDesk::Impl::log(const Attempt &Try, std::string_view Outcome,
                           const absl::Status &Status) {
  absl::Duration Took = this->Exec.now() - Try.Began;
  this->Events.write(LogLevel::Info, "caller", Try.Call,
                     {{"job", Try.Job},
                      {"outcome", Outcome},
                      {"error", outcomeOf(Status)},
                      {"configuration", this->version()},
                      {"took", Took}},
                     fmt::format("{}: {}", Try.Call, Try.Job.str()));
  this->count(Try.Call, Try.Account.str(), Try.Queue, Status);
  this->Figures
      .histogram("vanillayard_call_seconds",
                 "time to the answer of callers' calls", {{"call", Try.Call}})
      .record(Took);
}

void CallerDesk::Impl::logRefusal(std::string_view Call,
                                  const CallerIdentity &Caller,
                                  const absl::Status &Status) {
  // A caller may choose any path, so the lines of one reason share a limit.
  this->Events.write(LogLevel::Info, "caller", Call,
                     {{"job", Caller.Path.substr(Caller.Path.rfind('/') + 1)},
                      {"outcome", "refused"},
                      {"error", outcomeOf(Status)},
                      {"detail", std::string(Status.message())},
                      {"path", Caller.Path},
                      {"configuration", this->version()}},
                     fmt::format("{}: {}", Call, outcomeOf(Status)));
  this->count(std::string(Call), "", "", Status);
}

void CallerDesk::Impl::count(const std::string &Call,
                             const std::string &Account,
                             const std::string &Queue,
                             const absl::Status &Status) {
  this->Figures
      .counter("vanillayard_calls_total",
               "callers' calls by kind, client account, queue and error",
               {{"call", Call},
                {"account", Account},
                {"queue", Queue},
                {"error", outcomeOf(Status)}})
      .add();
}

template <typename Callback>
Callback CallerDesk::Impl::bounded(const Attempt &Try, Callback Done) {
  auto Pending = std::make_shared<Callback>(std::move(Done));
  auto Take = [Pending] { return std::exchange(*Pending, nullptr); };
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Exec.runAfter(Try.GiveUpAt - this->Exec.now(), [Weak, Take, Try] {
    std::shared_ptr<Impl> Self = Weak.lock();
    Callback Late = Take();
    if (!Self || !Late)
      return;
    absl::Status Unknown = makeError(ErrorKind::OutcomeUnknown,
                                     "the store has not answered in time");
    Self->log(Try, "no answer in time", Unknown);
    *Try.IsAnswered = true;
    Late(Unknown);
  });
  return [Take](auto Answer) {
    if (Callback First = Take())
      First(std::move(Answer));
  };
}

std::optional<absl::Status>
CallerDesk::Impl::retry(Attempt &Try, const absl::Status &Error,
                        std::function<void(Impl &, Attempt)> Again) {
  absl::Time Now = this->Exec.now();
  if (*Try.IsAnswered)
    return Error;
  bool IsUnavailable = errorKindOf(Error) == ErrorKind::PlatformUnavailable;
  Try.MayHaveRun |= !IsUnavailable;
  if (IsUnavailable)
    this->RefusedSince = std::min(this->RefusedSince, Now);
  absl::Time GiveUpAt = Try.GiveUpAt;
  if (!Try.MayHaveRun)
    GiveUpAt = std::min(
        {GiveUpAt, Try.RefuseAt, this->RefusedSince + UnavailablePatience});
  if (Now + RetryDelay < GiveUpAt) {
    std::weak_ptr<Impl> Weak = this->weak_from_this();
    this->Exec.runAfter(RetryDelay, [Weak, Try, Again = std::move(Again)] {
      if (std::shared_ptr<Impl> Self = Weak.lock())
        Again(*Self, Try);
    });
    return std::nullopt;
  }
  if (Try.MayHaveRun)
    return makeError(ErrorKind::OutcomeUnknown,
                     "the store has not answered in time");
  return makeError(ErrorKind::PlatformUnavailable, "the store does not serve",
                   UnavailableRetryAfter);
}

/// The id exists: a repetition of the same submission, or another job.
absl::Status CallerDesk::Impl::existing(const StoreCommit &Result,
                                        const Attempt &Try,
                                        const ClientAccountId &Account) const {
  for (const StoreItem &Item : Result.Found) {
    if (Item.Key != RecordKeys::job(Try.Job))
      continue;
    absl::StatusOr<BatchJob> Job = decodeBatchJob(Item.Value);
    if (Job.ok() && Job->Account != Account)
      return makeError(ErrorKind::Conflict, "the id belongs to another job");
  }
  return absl::OkStatus();
}

void CallerDesk::Impl::create(Attempt Try, StoreTransaction Records,
                              ClientAccountId Account, DoneCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  StoreTransaction Sent = Records;
  this->Store.commit(
      std::move(Sent),
      [Weak, Try = std::move(Try), Records = std::move(Records),
       Account = std::move(Account),
       Done = std::move(Done)](absl::StatusOr<StoreCommit> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteAnswer(Result.status());
        absl::Status Outcome = absl::OkStatus();
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retry(
              Try, Result.status(),
              [Records, Account, Done](Impl &Desk, Attempt Next) {
                Desk.create(std::move(Next), Records, Account, Done);
              });
          if (!Final)
            return;
          Outcome = *Final;
        } else if (!Result->IsApplied) {
          Outcome = Self->existing(*Result, Try, Account);
        }
        Self->log(Try, Outcome.ok() ? "accepted" : "refused", Outcome);
        Done(Outcome);
      });
}

void CallerDesk::Impl::readState(Attempt Try, StateCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  std::string Key = RecordKeys::progress(Try.Job);
  this->Store.get(
      Key, [Weak, Try = std::move(Try), Done = std::move(Done)](
               absl::StatusOr<std::optional<StoreItem>> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteAnswer(Result.status());
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retry(
              Try, Result.status(), [Done](Impl &Desk, Attempt Next) {
                Desk.readState(std::move(Next), Done);
              });
          if (Final) {
            Self->log(Try, "no answer", *Final);
            Done(*Final);
          }
          return;
        }
        if (!Result->has_value()) {
          absl::Status Gone = makeError(ErrorKind::Gone, "no such job");
          Self->log(Try, "gone", Gone);
          return Done(Gone);
        }
        absl::StatusOr<ProgressSummary> Summary =
            decodeSummary((*Result)->Value);
        if (!Summary.ok())
          return Done(Summary.status());
        Done(Summary->State);
      });
}

void CallerDesk::Impl::writeCancel(Attempt Try, DoneCallback Done) {
  StoreTransaction Record;
  Record.Expected.push_back({RecordKeys::cancel(Try.Job), 0});
  Record.Puts.push_back({RecordKeys::cancel(Try.Job), "cancelled", 0});
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.commit(
      std::move(Record), [Weak, Try = std::move(Try), Done = std::move(Done)](
                             absl::StatusOr<StoreCommit> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteAnswer(Result.status());
        absl::Status Outcome = absl::OkStatus();
        if (!Result.ok()) {
          std::optional<absl::Status> Final = Self->retry(
              Try, Result.status(), [Done](Impl &Desk, Attempt Next) {
                Desk.writeCancel(std::move(Next), Done);
              });
          if (!Final)
            return;
          Outcome = *Final;
        }
        Self->log(Try, Outcome.ok() ? "recorded" : "no answer", Outcome);
        Done(Outcome);
      });
}

void CallerDesk::Impl::readWaiting(Attempt Try, std::string QueueName,
                                   CountCallback Done) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.get(
      std::string(RecordKeys::Waiting),
      [Weak, Try = std::move(Try), QueueName = std::move(QueueName),
       Done = std::move(Done)](
          absl::StatusOr<std::optional<StoreItem>> Result) mutable {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->noteAnswer(Result.status());
        if (!Result.ok()) {
          std::optional<absl::Status> Final =
              Self->retry(Try, Result.status(),
                          [QueueName, Done](Impl &Desk, Attempt Next) {
                            Desk.readWaiting(std::move(Next), QueueName, Done);
                          });
          if (Final)
            Done(*Final);
          return;
        }
        if (!Result->has_value())
          return Done(0);
        auto Counts = nlohmann::json::parse((*Result)->Value, nullptr, false);
        if (!Counts.is_object())
          return Done(makeError(ErrorKind::Internal, "unreadable record"));
        auto Found = Counts.find(QueueName);
        bool HasCount = Found != Counts.end() && Found->is_number_integer();
        Done(HasCount ? Found->get<int64_t>() : 0);
      });
}

CallerDesk::CallerDesk(Executor &Exec, CoordinationStore &Store, Log &Events,
                       Metrics &Figures)
    : Implementation(std::make_shared<Impl>(Exec, Store, Events, Figures)) {}

CallerDesk::~CallerDesk() = default;

void CallerDesk::configurationChanged(std::shared_ptr<const QueueTable> Newer) {
  this->Implementation->Table = std::move(Newer);
}

bool CallerDesk::hasConfiguration() const {
  return this->Implementation->Table != nullptr;
}

absl::Status CallerDesk::admit(const CallerIdentity &Caller, size_t HeaderBytes,
                               size_t BodyBytes) const {
  Impl &I = *this->Implementation;
  absl::Status Refusal = I.resolveJob(Caller).status();
  if (Refusal.ok() && HeaderBytes > I.Table->configuration().MaxHeaderBytes)
    Refusal =
        makeError(ErrorKind::HeadersTooLarge, "the headers are too large");
  if (Refusal.ok() && BodyBytes > I.Table->configuration().MaxBodyBytes)
    Refusal = makeError(ErrorKind::PayloadTooLarge, "the body is too large");
  if (!Refusal.ok())
    I.logRefusal("submit", Caller, Refusal);
  return Refusal;
}

bool CallerDesk::namesQueue(const CallerIdentity &Caller) const {
  const auto &Table = this->Implementation->Table;
  const Queue *Target =
      Table ? Table->find(Caller.HostName, Caller.Path) : nullptr;
  return Target && Target->PathPrefix == Caller.Path;
}

void CallerDesk::submit(const CallerIdentity &Caller,
                        absl::StatusOr<BatchJob> Described, DoneCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  absl::Status Refusal = Resolved.ok() ? Described.status() : Resolved.status();
  if (!Refusal.ok()) {
    I.logRefusal("submit", Caller, Refusal);
    return Done(Refusal);
  }
  BatchJob Draft = *std::move(Described);
  const Queue &Target = *Resolved->Target;
  Attempt Try = I.attempt("submit", *Resolved, Caller);
  Draft.Id = Resolved->Job;
  Draft.Queue = Target.Name;
  Draft.Account = Resolved->Account;
  Draft.Service = Target.Service;
  Draft.Priority = Target.Priority;
  Draft.MaxAttempts = Target.MaxAttempts;
  Draft.Stretch = Target.Stretch;
  Draft.TargetLatency = Target.TargetLatency;
  Draft.Submitted = I.Exec.now();
  absl::Status Fault = validate(Draft);
  if (Fault.ok() && Target.NeedsAdvice)
    Fault = makeError(ErrorKind::Unsupported,
                      "queues with an advice service are not served");
  if (!Fault.ok()) {
    I.log(Try, "refused", Fault);
    return Done(Fault);
  }
  StoreTransaction Records;
  std::string JobKey = RecordKeys::job(Draft.Id);
  std::string ProgressKey = RecordKeys::progress(Draft.Id);
  Records.Expected = {{JobKey, 0}, {ProgressKey, 0}};
  Records.Puts = {{JobKey, encodeBatchJob(Draft), 0},
                  {ProgressKey, encodeProgress(Draft, JobProgress(Draft)), 0}};
  DoneCallback Bounded = I.bounded(Try, std::move(Done));
  I.create(std::move(Try), std::move(Records), Resolved->Account,
           std::move(Bounded));
}

void CallerDesk::state(const CallerIdentity &Caller, StateCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("state", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  Attempt Try = I.attempt("state", *Resolved, Caller);
  StateCallback Bounded = I.bounded(Try, std::move(Done));
  I.readState(std::move(Try), std::move(Bounded));
}

void CallerDesk::cancel(const CallerIdentity &Caller, DoneCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolveJob(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("cancel", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  Attempt Try = I.attempt("cancel", *Resolved, Caller);
  std::weak_ptr<Impl> Weak = this->Implementation;
  DoneCallback Bounded = I.bounded(Try, std::move(Done));
  I.readState(Try, [Weak, Try, Done = std::move(Bounded)](
                       absl::StatusOr<BatchState> State) {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self)
      return;
    if (!State.ok())
      return Done(State.status());
    if (*State == BatchState::Cancelled)
      return Done(absl::OkStatus());
    if (isFinal(*State))
      return Done(makeError(ErrorKind::Gone, "the job is over"));
    Self->writeCancel(Try, Done);
  });
}

void CallerDesk::waiting(const CallerIdentity &Caller, CountCallback Done) {
  Impl &I = *this->Implementation;
  absl::StatusOr<ResolvedCall> Resolved = I.resolve(Caller);
  if (!Resolved.ok()) {
    I.logRefusal("waiting", Caller, Resolved.status());
    return Done(Resolved.status());
  }
  Attempt Try = I.attempt("waiting", *Resolved, Caller);
  CountCallback Bounded = I.bounded(Try, std::move(Done));
  I.readWaiting(std::move(Try), Resolved->Target->Name, std::move(Bounded));
}

} // namespace vanillayard
