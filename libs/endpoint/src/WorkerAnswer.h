#ifndef VANILLAYARD_ENDPOINT_WORKERANSWER_H
#define VANILLAYARD_ENDPOINT_WORKERANSWER_H

#include "endpoint/WorkerTypes.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace vanillayard {

inline constexpr int NotModified = 304;

/// Checks that \p Response is a whole answer of a worker, about \p Lease if
/// given, and that it is not an error. Errors are those of WorkerClient.
absl::Status checkAnswer(const HttpResponse &Response, const LeaseId *Lease);

/// Reads a checked answer whose body is a task's result.
/// \param MustFinish take any state but finished as OutcomeUnknown.
absl::StatusOr<TaskResult> taskResult(const LeaseId &Lease, bool MustFinish,
                                      HttpResponse Response);

absl::StatusOr<RevokeResult> revokeResult(const HttpResponse &Response);

/// Reads an array of ids. Returns false if it is not one.
bool readLeaseIds(const nlohmann::json &Answer, const char *Name,
                  std::vector<LeaseId> &Ids);

} // namespace vanillayard

#endif
