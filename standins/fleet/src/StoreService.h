#ifndef VANILLAYARD_STANDIN_FLEET_STORESERVICE_H
#define VANILLAYARD_STANDIN_FLEET_STORESERVICE_H

#include "net/HttpResponder.h"

namespace vanillayard {

class FakeCoordinationStore;
class FakeWorkerFarm;

/// Serves the platform's metadata store over HTTP, and two calls for tests:
/// PUT /standin/configuration sets the operators' configuration, and
/// GET /standin/runs returns the number of runs that the workers have started.
/// \p Store and \p Farm must outlive the handler.
HttpHandler makeStoreHandler(FakeCoordinationStore &Store,
                             const FakeWorkerFarm &Farm);

} // namespace vanillayard

#endif
