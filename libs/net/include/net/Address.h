#ifndef VANILLAYARD_NET_SRC_ADDRESS_H
#define VANILLAYARD_NET_SRC_ADDRESS_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <netinet/in.h>

namespace vanillayard {

/// Parses "IP:port" with an IPv4 address. Error: InvalidArgument.
absl::StatusOr<sockaddr_in> parseAddress(const Endpoint &Text);

/// Formats a socket address as "IP:port".
Endpoint formatAddress(const sockaddr_in &Address);

} // namespace vanillayard

#endif
