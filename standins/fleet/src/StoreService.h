#ifndef VANILLAYARD_STANDIN_FLEET_STORESERVICE_H
#define VANILLAYARD_STANDIN_FLEET_STORESERVICE_H

#include "net/HttpResponder.h"

namespace vanillayard {

class FakeCoordinationStore;
class FakeWorkerFarm;

/// The platform's metadata store over HTTP, and two calls for tests:
/// PUT /standin/configuration sets the operators' configuration, and
/// GET /standin/runs counts the runs that the workers have begun.
HttpHandler makeStoreHandler(FakeCoordinationStore &Store,
                             const FakeWorkerFarm &Farm);

} // namespace vanillayard

#endif
