#ifndef VANILLAYARD_NET_SRC_REFUSALFILTER_H
#define VANILLAYARD_NET_SRC_REFUSALFILTER_H

#include <h2o.h>

namespace vanillayard {

using RefusalCallback = void (*)(h2o_socket_t *);

/// Gives h2o's own refusals of requests that it could not read the form of the
/// others, problem details.
/// \param Refused called with the connection of each refusal.
void addRefusalFilter(h2o_hostconf_t *Host, RefusalCallback Refused);

} // namespace vanillayard

#endif
