#ifndef VANILLAYARD_NET_SRC_REFUSALFILTER_H
#define VANILLAYARD_NET_SRC_REFUSALFILTER_H

#include <h2o.h>

namespace vanillayard {

using RefusalCallback = void (*)(h2o_socket_t *);

/// Adds a filter that turns the responses with which h2o itself refuses a
/// request (400 and 413) into problem details, the format of all other errors.
/// \param OnRefused called with the connection of each refused request.
void addRefusalFilter(h2o_hostconf_t *Host, RefusalCallback OnRefused);

} // namespace vanillayard

#endif
