#ifndef VANILLAYARD_DAEMON_JOBAPI_H
#define VANILLAYARD_DAEMON_JOBAPI_H

#include "base/Ids.h"
#include "jobs/JobStore.h"
#include "net/HttpResponder.h"

#include "absl/status/statusor.h"

#include <map>
#include <memory>
#include <string>

namespace vanillayard {

struct JobSpec;
class JobLookup;
class JobService;

/// HTTP API of callers for jobs: POST /v1/jobs, GET /v1/jobs/ID and
/// POST /v1/jobs/ID/cancel.
class JobApi {
public:
  /// Upper bound of wait_ms, the time that one call waits for the end of a
  /// job, in milliseconds. Less than the default grace period of a shutdown,
  /// so that waiting calls do not delay it.
  static constexpr int64_t MaxWaitMs = 20000;
  static constexpr std::string_view PathPrefix = "/v1/jobs";

  /// \param Lookup queried for a job when the platform's store is unavailable.
  JobApi(JobService &Jobs, JobLookup &Lookup, HostId Host, int64_t Incarnation);

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

  /// Answers all waiting calls with the current state of their job. Called at
  /// shutdown.
  void answerWaitingCalls();

  /// Parses the JSON body of a submission. Error: InvalidRequest with the name
  /// of the invalid field and its bounds.
  static absl::StatusOr<JobSpec> parse(const std::string &Body);

  /// Returns the JSON document of a job for callers and operators.
  static std::string toJson(const JobRecord &Record);

private:
  void submit(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);
  void get(const JobId &Id, const HttpRequest &Request,
           const std::shared_ptr<HttpResponder> &Responder);
  void cancel(const JobId &Id, const std::shared_ptr<HttpResponder> &Responder);
  /// Answers with the planners' record of the job if \p Failure is
  /// PlatformUnavailable, otherwise with \p Failure.
  void askPlanners(const JobId &Id, const absl::Status &Failure,
                   const std::shared_ptr<HttpResponder> &Responder);
  /// Makes a key for a submission without an Idempotency-Key header.
  std::string generateIdempotencyKey();

  JobService &Jobs;
  JobLookup &Lookup;
  std::string KeyPrefix;
  uint64_t NextKey = 1;
  uint64_t NextCallId = 1;
  std::map<uint64_t, std::pair<JobId, std::weak_ptr<HttpResponder>>>
      WaitingCalls;
};

} // namespace vanillayard

#endif
