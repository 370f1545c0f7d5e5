#ifndef VANILLAYARD_REQUESTS_REQUESTFORWARDER_H
#define VANILLAYARD_REQUESTS_REQUESTFORWARDER_H

#include "policy/DataCentreSelector.h"
#include "requests/RequestAnswer.h"

#include <span>

namespace vanillayard {

struct SubmittedRequest;

/// Sends short requests to other entry hosts.
class RequestForwarder {
public:
  virtual ~RequestForwarder() = default;

  /// Load of the other data centres, as their hosts reported it last.
  virtual std::span<const DataCentreLoad> loads() const = 0;

  /// Sends a request to an entry host of \p Target, which may be another host
  /// of the own data centre. The callback runs on the owner's executor, once,
  /// and never from inside the call. The execution of an error says what may
  /// be done next: NotRun only if the request will provably not run there;
  /// OutcomeUnknown after a lost connection.
  virtual void forward(const DataCentreId &Target,
                       const SubmittedRequest &Request,
                       AnswerCallback Done) = 0;
};

} // namespace vanillayard

#endif
