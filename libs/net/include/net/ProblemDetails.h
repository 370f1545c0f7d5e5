#ifndef VANILLAYARD_NET_PROBLEMDETAILS_H
#define VANILLAYARD_NET_PROBLEMDETAILS_H

#include "net/HttpMessage.h"

#include "absl/status/status.h"

namespace vanillayard {

/// Makes the response to a failed request: problem details as in RFC 9457 with
/// the additional members "kind" and "execution". If the status has a retry
/// hint, adds it as "retry_after_ms" and as a Retry-After header in whole
/// seconds, rounded up.
HttpResponse problemResponse(const absl::Status &Status);

} // namespace vanillayard

#endif
