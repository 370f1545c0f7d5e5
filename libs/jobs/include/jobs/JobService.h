#ifndef VANILLAYARD_JOBS_JOBSERVICE_H
#define VANILLAYARD_JOBS_JOBSERVICE_H

#include "base/Executor.h"
#include "config/Configuration.h"
#include "jobs/JobStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class JobNotifier;

/// Handles callers' job requests on any host by reading and writing the job
/// records. The planner need not run on this host.
class JobService {
public:
  template <typename T> using Callback = JobStore::Callback<T>;
  /// The configuration in force; null if there is none yet.
  using ConfigurationSource =
      std::function<std::shared_ptr<const Configuration>()>;

  JobService(Executor &Exec, Store &Service, JobNotifier &Notifier,
             DataCentreId DataCentre, ConfigurationSource ConfigSource);
  ~JobService();

  /// Accepts a job. \p Key is the idempotency key, or a random one if the
  /// caller supplies none.
  /// Errors: InvalidRequest, NotReady, UnknownAccount, UnknownKind,
  /// NeverFits, PayloadTooLarge, KeyReused, PlatformUnavailable,
  /// OutcomeUnknown.
  void submit(const JobSpec &Spec, const std::string &Key,
              Callback<StoredJob> Done);

  /// Reads a job and, if it has not ended, waits up to \p Timeout for its end.
  /// Errors: NotFound, PlatformUnavailable.
  void get(const JobId &Id, absl::Duration Timeout, Callback<StoredJob> Done);

  /// Cancels a job: a queued job ends at once, and the planner stops a placed
  /// one. Passes the current record to \p Done; a job that has ended is not
  /// changed.
  /// Errors: NotFound, PlatformUnavailable, Conflict if the record changed
  /// concurrently in every try.
  void cancel(const JobId &Id, Callback<StoredJob> Done);

  /// Lists all jobs, or those of one account if \p Account is not empty.
  /// Error: PlatformUnavailable.
  void list(const ClientAccountId &Account,
            Callback<std::vector<StoredJob>> Done);

private:
  struct Waiter;

  static constexpr int MaxCancelTries = 5;

  absl::Status validate(const JobSpec &Spec) const;
  void cancelOnce(const JobId &Id, int TriesLeft, Callback<StoredJob> Done);
  void startWait(const StoredJob &Job, absl::Duration Timeout,
                 Callback<StoredJob> Done);
  void endWait(const std::shared_ptr<Waiter> &Waiting);
  void notify(const StoredJob &Job);

  Executor &Exec;
  Store &Service;
  JobStore Jobs;
  JobNotifier &Notifier;
  DataCentreId DataCentre;
  ConfigurationSource ConfigSource;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
