#ifndef VANILLAYARD_CONFIG_ENDPOINTCHECK_H
#define VANILLAYARD_CONFIG_ENDPOINTCHECK_H

#include <string>

namespace vanillayard {

/// Returns whether \p Text is "IPv4:port" or "[IPv6]:port" with a port from
/// \p MinPort to 65535.
bool isIpEndpoint(const std::string &Text, int MinPort);

} // namespace vanillayard

#endif
