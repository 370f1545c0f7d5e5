#ifndef VANILLAYARD_STANDIN_FLEET_WORKERSERVICE_H
#define VANILLAYARD_STANDIN_FLEET_WORKERSERVICE_H

#include "base/Ids.h"
#include "net/HttpResponder.h"

#include <string>

namespace vanillayard {

class FakeWorkerFarm;
struct WorkerRegistration;

/// Serves the HTTP calls of worker \p Id from \p Farm, which must outlive the
/// handler.
HttpHandler makeWorkerHandler(FakeWorkerFarm &Farm, WorkerId Id);

/// Encodes a worker's registration as the JSON document kept in the store.
std::string encodeRegistration(const WorkerRegistration &Registration);

} // namespace vanillayard

#endif
