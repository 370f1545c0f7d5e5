#ifndef VANILLAYARD_NET_ADDRESS_H
#define VANILLAYARD_NET_ADDRESS_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <netinet/in.h>

namespace vanillayard {

/// Parses "IP:port" with an IPv4 address. Error: InvalidArgument.
absl::StatusOr<sockaddr_in> parseAddress(const Endpoint &Text);

/// Whether \p Text is an "IP:port" that a connection can be made to: the port
/// is not 0 and the address is not 0.0.0.0.
bool isConnectable(const Endpoint &Text);

/// Formats a socket address as "IP:port".
Endpoint formatAddress(const sockaddr_in &Address);

} // namespace vanillayard

#endif
