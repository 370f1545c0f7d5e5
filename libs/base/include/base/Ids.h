#ifndef VANILLAYARD_BASE_IDS_H
#define VANILLAYARD_BASE_IDS_H

#include "base/StrongId.h"

namespace vanillayard {

/// An accelerator machine.
using WorkerId = StrongId<struct WorkerTag>;
/// An entry host: a machine that runs vanillayardd.
using HostId = StrongId<struct HostTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RackId = StrongId<struct RackTag>;
/// A client account, the holder of guarantees.
using ClientAccountId = StrongId<struct ClientAccountTag>;
/// One caller within a client account.
using CallerId = StrongId<struct CallerTag>;
/// The name of a kind of work, such as "price-check".
using KindOfWorkId = StrongId<struct KindOfWorkTag>;
using PresetId = StrongId<struct PresetTag>;
using JobId = StrongId<struct JobTag>;
using RequestId = StrongId<struct RequestTag>;
/// A lease on a worker. The client chooses the id, so that it can repeat an
/// acquire call safely.
using LeaseId = StrongId<struct LeaseTag>;
/// "IP:port" address of a worker or host.
using Endpoint = StrongId<struct EndpointTag>;

} // namespace vanillayard

#endif
