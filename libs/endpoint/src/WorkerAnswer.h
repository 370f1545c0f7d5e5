#ifndef VANILLAYARD_ENDPOINT_WORKERANSWER_H
#define VANILLAYARD_ENDPOINT_WORKERANSWER_H

#include "endpoint/WorkerTypes.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace vanillayard {

inline constexpr int NotModifiedStatus = 304;

/// Checks that \p Response is a complete answer of a worker, that it is for
/// \p Lease if that is not null, and that it is not an error. Errors are those
/// of WorkerClient.
absl::Status checkAnswer(const HttpResponse &Response, const LeaseId *Lease);

/// Reads a task's result from an answer that has passed checkAnswer().
/// \param MustFinish whether any state but finished is OutcomeUnknown.
absl::StatusOr<TaskResult> readTaskResult(const LeaseId &Lease, bool MustFinish,
                                          HttpResponse Response);

/// Reads the result of a revocation from an answer that has passed
/// checkAnswer(). Error: AnswerMismatch if the answer holds none.
absl::StatusOr<RevokeResult> readRevokeResult(const HttpResponse &Response);

/// Appends the lease ids in the array \p Name of \p Answer to \p Ids. Returns
/// false if it is not an array of strings.
bool readLeaseIds(const nlohmann::json &Answer, const char *Name,
                  std::vector<LeaseId> &Ids);

} // namespace vanillayard

#endif
