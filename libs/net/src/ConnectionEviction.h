#ifndef VANILLAYARD_NET_SRC_CONNECTIONEVICTION_H
#define VANILLAYARD_NET_SRC_CONNECTIONEVICTION_H

#include "ConnectionUse.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillayard {

/// Chooses the connection to close when a server has reached a limit, under the
/// load of a crowd: many connections from few clients that hold unfinished
/// requests or nothing at all. Shares are counted by client, so a client with
/// few connections keeps them. Takes time linear in the number of connections.

/// Chooses the connection to close to free input memory: the one with the
/// largest buffer of the client with the most buffered bytes. Only connections
/// in the phases Idle and Receiving with a buffer are considered.
/// \returns its index; nullopt if there is none.
std::optional<size_t>
chooseToFreeMemory(const std::vector<ConnectionUse> &Connections);

/// Chooses the connection to close to make room for a new one: of the client
/// with the most connections, the one that has been inactive the longest. Idle
/// connections are preferred, then those that receive or send. One whose
/// request is being handled is chosen last, and only if its client has more
/// than MaxHandlingShare of the connections.
/// \returns its index; nullopt if there is none.
inline constexpr double MaxHandlingShare = 0.25;
std::optional<size_t>
chooseToMakeRoom(const std::vector<ConnectionUse> &Connections);

} // namespace vanillayard

#endif
