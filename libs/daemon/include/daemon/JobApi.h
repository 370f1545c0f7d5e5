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

/// Callers' API for jobs: POST /v1/jobs, GET /v1/jobs/ID and
/// POST /v1/jobs/ID/cancel.
class JobApi {
public:
  /// Longest wait for the end of a job in one call, in milliseconds. Shorter
  /// than the grace of a shutdown, so that waiting calls do not hold it up.
  static constexpr int64_t MaxWaitMs = 20000;
  static constexpr std::string_view PathPrefix = "/v1/jobs";

  /// \param Lookup asked when the store does not answer.
  JobApi(JobService &Jobs, JobLookup &Lookup, HostId Host, int64_t Incarnation);

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

  /// Answers all waiting calls with the state of their job as it is.
  void answerWaiting();

  /// Reads a job from a request body. Error: InvalidRequest with the name of
  /// the member at fault and its bounds.
  static absl::StatusOr<JobSpec> parse(const std::string &Body);

  /// A record as callers and operators see it.
  static std::string describe(const JobRecord &Record);

private:
  void submit(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);
  void get(const JobId &Id, const HttpRequest &Request,
           const std::shared_ptr<HttpResponder> &Responder);
  void cancel(const JobId &Id, const std::shared_ptr<HttpResponder> &Responder);
  void lookUp(const JobId &Id, const absl::Status &Failure,
              const std::shared_ptr<HttpResponder> &Responder);
  std::string randomKey();

  JobService &Jobs;
  JobLookup &Lookup;
  std::string KeyPrefix;
  uint64_t NextKey = 1;
  uint64_t NextWait = 1;
  std::map<uint64_t, std::pair<JobId, std::weak_ptr<HttpResponder>>> Waiting;
};

} // namespace vanillayard

#endif
