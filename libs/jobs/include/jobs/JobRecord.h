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

/// Worker, accelerators and lease of one member.
struct MemberLease {
  WorkerId Worker;
  Endpoint Address;
  LeaseId Lease;
  std::vector<int> Accelerators;

  friend bool operator==(const MemberLease &, const MemberLease &) = default;
};

/// A job as it is kept in the platform's store, encoded as JSON.
struct JobRecord {
  static constexpr std::string_view KeyPrefix = "/vanillayard/jobs/";
  static constexpr std::string_view IdPrefix = "job-";
  /// Longest encoded record, below the store's limit of 1 MB for a value.
  /// Results that make a record longer are left out of it.
  static constexpr size_t MaxRecordBytes = 960 << 10;
  /// Longest encoded record of a submission. The rest of MaxRecordBytes is for
  /// the placement of a gang of the largest size.
  static constexpr size_t MaxSubmittedBytes = 700 << 10;

  JobId Id;
  JobSpec Spec;
  /// Digest of the request. Distinguishes a retry from another request with
  /// the same idempotency key.
  std::string RequestDigest;
  JobState State = JobState::Queued;
  DataCentreId DataCentre;
  absl::Time Submitted;
  bool CancelRequested = false;
  /// Number of placements so far.
  int Attempts = 0;
  /// Number of attempts in which a member failed.
  int Failures = 0;
  /// Epoch of the planner that last placed the job.
  Epoch PlannerEpoch;
  /// Indexed by member; empty while the job is queued.
  std::vector<MemberLease> Placement;
  /// Result of each member, if the job finished.
  std::vector<std::string> Results;
  /// True if the results were too large for the record.
  bool ResultsOmitted = false;
  /// Whether any member may have run, for a job that ended in a state other
  /// than Finished.
  bool MayHaveRun = false;
  /// A sentence on how the job ended, or why it is unresolved.
  std::string Detail;

  std::string key() const;
  static std::string keyOf(const JobId &Id);
  /// Derives the id from the account and the idempotency key, so that all
  /// retries with the same key have the same id.
  static JobId deriveId(const ClientAccountId &Account, std::string_view Key);
  static std::string digestOf(const JobSpec &Spec);

  std::string encode() const;
  /// Error: Internal if the text is not a job record.
  static absl::StatusOr<JobRecord> decode(std::string_view Text);
};

} // namespace vanillayard

#endif
