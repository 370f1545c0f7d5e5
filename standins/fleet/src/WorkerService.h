#ifndef VANILLAYARD_STANDIN_FLEET_WORKERSERVICE_H
#define VANILLAYARD_STANDIN_FLEET_WORKERSERVICE_H

#include "base/Ids.h"
#include "net/HttpResponder.h"

#include <string>

namespace vanillayard {

class FakeWorkerFarm;
struct WorkerRegistration;

/// The calls of one worker over HTTP.
HttpHandler makeWorkerHandler(FakeWorkerFarm &Farm, WorkerId Id);

/// A worker's registration as it lies in the store.
std::string encodeRegistration(const WorkerRegistration &Registration);

} // namespace vanillayard

#endif
