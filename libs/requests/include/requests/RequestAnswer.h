#ifndef VANILLAYARD_REQUESTS_REQUESTANSWER_H
#define VANILLAYARD_REQUESTS_REQUESTANSWER_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>

namespace vanillayard {

/// The complete answer to a short request.
struct RequestAnswer {
  RequestId Id;
  std::string Body;
  /// Worker that ran the request.
  WorkerId Worker;
};

using AnswerCallback = std::function<void(absl::StatusOr<RequestAnswer>)>;

} // namespace vanillayard

#endif
