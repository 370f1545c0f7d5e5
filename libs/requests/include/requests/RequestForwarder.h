#ifndef VANILLAYARD_REQUESTS_REQUESTFORWARDER_H
#define VANILLAYARD_REQUESTS_REQUESTFORWARDER_H

#include "policy/DataCentreSelector.h"
#include "requests/RequestAnswer.h"

#include <span>

namespace vanillayard {

struct SubmittedRequest;

/// Forwards short requests to other entry hosts.
class RequestForwarder {
public:
  virtual ~RequestForwarder() = default;

  /// Most recently reported load of each other data centre.
  virtual std::span<const DataCentreLoad> dataCentreLoads() const = 0;

  /// Forwards a request to an entry host of \p Target. \p Target may be the
  /// local data centre, in which case another host of it is chosen. The
  /// callback runs on the owner's executor, once, and never from inside the
  /// call. The error's Execution is NotRun only if the request provably did not
  /// and will not run there; after a lost connection the error is
  /// OutcomeUnknown.
  virtual void forward(const DataCentreId &Target,
                       const SubmittedRequest &Request,
                       AnswerCallback Done) = 0;
};

} // namespace vanillayard

#endif
