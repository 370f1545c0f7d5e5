#ifndef VANILLAYARD_FLEET_BATCHJOBCODEC_H
#define VANILLAYARD_FLEET_BATCHJOBCODEC_H

#include "fleet/BatchJob.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace vanillayard {

/// Encodes the stored record of an accepted job as JSON.
std::string encodeBatchJob(const BatchJob &Job);

/// Decodes and validates a stored record. Errors: Internal for a malformed
/// record; the errors of validate().
absl::StatusOr<BatchJob> decodeBatchJob(std::string_view Text);

} // namespace vanillayard

#endif
