#ifndef VANILLAYARD_JOBS_JOBRECORD_H
#define VANILLAYARD_JOBS_JOBRECORD_H

#include "endpoint/WorkerTypes.h"
#include "jobs/JobSpec.h"
#include "jobs/JobState.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Worker and lease of one member.
struct MemberPlacement {
  WorkerId Worker;
  Endpoint Address;
  LeaseId Lease;
  std::vector<int> Accelerators;

  friend bool operator==(const MemberPlacement &,
                         const MemberPlacement &) = default;
};

/// A job as it is kept in the platform's service, in JSON.
struct JobRecord {
  static constexpr std::string_view KeyPrefix = "/vanillayard/jobs/";
  static constexpr std::string_view IdPrefix = "job-";
  /// The service holds values up to 1 MB; results beyond this are left out.
  static constexpr size_t MaxResultBytes = 700 << 10;

  JobId Id;
  JobSpec Spec;
  /// Digest of the request, to tell a retry from a reused key.
  std::string RequestDigest;
  JobState State = JobState::Queued;
  DataCentreId DataCentre;
  absl::Time Submitted;
  bool CancelRequested = false;
  /// Placements so far.
  int Attempts = 0;
  /// Attempts in which a member failed.
  int Failures = 0;
  Epoch Planner;
  /// By member; empty while queued.
  std::vector<MemberPlacement> Placement;
  /// Result of each member, if finished.
  std::vector<std::string> Results;
  /// True if the results were too large for the record.
  bool ResultsOmitted = false;
  /// Whether any member may have run, if ended otherwise.
  bool MayHaveRun = false;
  /// A sentence on how the job ended.
  std::string Detail;

  std::string key() const;
  static std::string keyOf(const JobId &Id);
  /// The id is the same for every retry with the idempotency key.
  static JobId deriveId(const ClientAccountId &Account, std::string_view Key);
  static std::string digestOf(const JobSpec &Spec);

  std::string encode() const;
  /// Error: Internal if the text is not a job record.
  static absl::StatusOr<JobRecord> decode(std::string_view Text);
};

} // namespace vanillayard

#endif
