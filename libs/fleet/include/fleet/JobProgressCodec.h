#ifndef VANILLAYARD_FLEET_JOBPROGRESSCODEC_H
#define VANILLAYARD_FLEET_JOBPROGRESSCODEC_H

#include "fleet/JobProgress.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace vanillayard {

/// Encodes the stored progress record of a job as JSON. The record of a job in
/// a final state holds only its state and queue.
std::string encodeProgress(const BatchJob &Job, const JobProgress &Progress);

/// The part of a progress record that a host needs to answer a caller.
struct ProgressSummary {
  BatchState State = BatchState::Queued;
  std::string Queue;
};

/// Decodes only the summary of a progress record. Error: Internal for a
/// malformed record.
absl::StatusOr<ProgressSummary> decodeProgressSummary(std::string_view Text);

/// Decodes a progress record into \p Progress, which was constructed for the
/// same job. Error: Internal for a malformed record or one of a job with
/// another number of tasks; \p Progress is then unspecified.
absl::Status decodeProgress(std::string_view Text, JobProgress &Progress);

} // namespace vanillayard

#endif
