#include "jobs/JobService.h"

#include "base/ErrorKind.h"
#include "jobs/JobNotifier.h"
#include "placement/CellTable.h"
#include "store/Store.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

/// Maximum number of members of a gang; bounds the size of a record.
static constexpr int MaxMembers = 1024;
/// Maximum size of a body.
static constexpr size_t MaxBodyBytes = 256 << 10;

/// A caller that waits for the end of a job.
struct JobService::Waiter {
  JobId Id;
  Callback<StoredJob> Done;
  std::unique_ptr<StoreWatch> Watch;
  Executor::TimerId Timer = 0;
  bool Ended = false;
};

JobService::JobService(Executor &Exec, Store &Service, JobNotifier &Notifier,
                       DataCentreId DataCentre,
                       ConfigurationSource ConfigSource)
    : Exec(Exec), Service(Service), Jobs(Service), Notifier(Notifier),
      DataCentre(std::move(DataCentre)), ConfigSource(std::move(ConfigSource)) {
}

JobService::~JobService() = default;

absl::Status JobService::validate(const JobSpec &Spec) const {
  std::shared_ptr<const Configuration> Config = this->ConfigSource();
  if (!Config)
    return makeError(ErrorKind::NotReady, "this host has no configuration yet");
  if (!Config->findAccount(Spec.Account))
    return makeError(ErrorKind::UnknownAccount,
                     "the client account is not in the configuration");
  if (!Config->findKind(Spec.Kind))
    return makeError(ErrorKind::UnknownKind,
                     "the kind of work is not in the configuration");
  if (Spec.Shape.Members < 1 || Spec.Shape.Members > MaxMembers)
    return makeError(ErrorKind::InvalidRequest,
                     fmt::format("gang_size must be 1 to {}", MaxMembers));
  if (Spec.Shape.AcceleratorsPerMember < 1)
    return makeError(ErrorKind::InvalidRequest,
                     "accelerators_per_member must be at least 1");
  if (Spec.Shape.AcceleratorsPerMember > MaxAcceleratorsPerWorker)
    return makeError(ErrorKind::NeverFits,
                     "accelerators_per_member is more than any worker has");
  if (Spec.DeclaredRunTime < absl::ZeroDuration() ||
      Spec.Deadline < absl::ZeroDuration())
    return makeError(
        ErrorKind::InvalidRequest,
        "declared_run_time_ms and deadline_ms must not be negative");
  if (Spec.Body.size() > MaxBodyBytes)
    return makeError(
        ErrorKind::PayloadTooLarge,
        fmt::format("the body must not exceed {} bytes", MaxBodyBytes));
  return absl::OkStatus();
}

void JobService::notify(const StoredJob &Job) {
  this->Notifier.notify({Job.Record.Id, Job.Record.DataCentre, Job.Record.State,
                         Job.Record.CancelRequested, Job.ModRevision});
}

void JobService::submit(const JobSpec &Spec, const std::string &Key,
                        Callback<StoredJob> Done) {
  if (absl::Status Valid = this->validate(Spec); !Valid.ok()) {
    this->Exec.post([Valid, Done = std::move(Done)] { Done(Valid); });
    return;
  }
  JobRecord Record;
  Record.Id = JobRecord::deriveId(Spec.Account, Key);
  Record.Spec = Spec;
  Record.RequestDigest = JobRecord::digestOf(Spec);
  Record.DataCentre = this->DataCentre;
  Record.Submitted = this->Exec.now();
  // Characters that JSON escapes take up to six times their size.
  if (Record.encode().size() > JobRecord::MaxSubmittedBytes) {
    this->Exec.post([Done = std::move(Done)] {
      Done(makeError(ErrorKind::PayloadTooLarge,
                     fmt::format("the record of the job would exceed {} bytes",
                                 JobRecord::MaxSubmittedBytes)));
    });
    return;
  }
  this->Jobs.create(Record, [this, Done = std::move(Done)](
                                absl::StatusOr<StoredJob> Created) {
    if (Created.ok() && !isTerminal(Created->Record.State))
      this->notify(*Created);
    Done(std::move(Created));
  });
}

void JobService::get(const JobId &Id, absl::Duration Timeout,
                     Callback<StoredJob> Done) {
  this->Jobs.get(Id, [this, Timeout,
                      Done = std::move(Done)](absl::StatusOr<StoredJob> Found) {
    if (!Found.ok() || isTerminal(Found->Record.State) ||
        Timeout <= absl::ZeroDuration())
      return Done(std::move(Found));
    this->startWait(*Found, Timeout, Done);
  });
}

void JobService::startWait(const StoredJob &Job, absl::Duration Timeout,
                           Callback<StoredJob> Done) {
  auto Waiting = std::make_shared<Waiter>();
  Waiting->Id = Job.Record.Id;
  Waiting->Done = std::move(Done);
  std::weak_ptr<bool> Weak = this->Alive;
  // The timer ends the wait, and the record is read, even if the watch reports
  // nothing.
  auto End = [this, Weak, Waiting] {
    if (Weak.lock())
      this->endWait(Waiting);
  };
  Waiting->Timer = this->Exec.runAfter(Timeout, End);
  Waiting->Watch = this->Service.watch(
      Job.Record.key(), Job.ModRevision + 1,
      [End](const std::vector<WatchEvent> &Events) {
        for (const WatchEvent &Event : Events) {
          auto Now = JobStore::decode(Event.Value);
          if (Event.Deleted || (Now.ok() && isTerminal(Now->Record.State)))
            return End();
        }
      },
      [](const absl::Status &) {});
}

void JobService::endWait(const std::shared_ptr<Waiter> &Waiting) {
  if (std::exchange(Waiting->Ended, true))
    return;
  this->Exec.cancel(Waiting->Timer);
  // The watch must not be destroyed from inside its own callback.
  this->Exec.post([Waiting] { Waiting->Watch.reset(); });
  this->Jobs.get(Waiting->Id, Waiting->Done);
}

void JobService::cancel(const JobId &Id, Callback<StoredJob> Done) {
  this->cancelOnce(Id, MaxCancelTries, std::move(Done));
}

void JobService::cancelOnce(const JobId &Id, int TriesLeft,
                            Callback<StoredJob> Done) {
  auto Updated = [this, Id, TriesLeft, Done](absl::StatusOr<JobUpdate> Result) {
    if (!Result.ok())
      return Done(Result.status());
    if (!Result->Applied && TriesLeft > 1)
      return this->cancelOnce(Id, TriesLeft - 1, Done);
    if (!Result->Applied)
      return Done(
          makeError(ErrorKind::Conflict,
                    "the job record was changed concurrently in every try to "
                    "cancel the job"));
    this->notify(Result->Current);
    Done(std::move(Result->Current));
  };
  this->Jobs.get(Id, [this, Updated, Done](absl::StatusOr<StoredJob> Found) {
    if (!Found.ok() || isTerminal(Found->Record.State) ||
        Found->Record.CancelRequested)
      return Done(std::move(Found));
    JobRecord Record = Found->Record;
    Record.CancelRequested = true;
    // The planner may have started a queued repeatable job while the store was
    // down, without recording it. The planner stops it once notified.
    if (Record.State == JobState::Queued) {
      Record.State = JobState::Cancelled;
      Record.MayHaveRun = Record.Spec.Repeatable || Record.MayHaveRun;
      Record.Detail = "cancelled while queued";
    }
    this->Jobs.update(Record, Found->ModRevision, Updated);
  });
}

void JobService::list(const ClientAccountId &Account,
                      Callback<std::vector<StoredJob>> Done) {
  this->Jobs.list([Account, Done = std::move(Done)](
                      absl::StatusOr<std::vector<StoredJob>> All) {
    if (All.ok() && !Account.empty())
      std::erase_if(*All, [&Account](const StoredJob &Job) {
        return Job.Record.Spec.Account != Account;
      });
    Done(std::move(All));
  });
}

} // namespace vanillayard
