#ifndef VANILLAYARD_STORE_HOSTDIRECTORY_H
#define VANILLAYARD_STORE_HOSTDIRECTORY_H

#include "base/Ids.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

enum class HostRole { Entry, Worker };
enum class HostState { Live, Leaving };

/// One entry of the platform's list of hosts.
struct ListedHost {
  /// HostId of an entry host or WorkerId of a worker.
  std::string Name;
  HostRole Role = HostRole::Worker;
  DataCentreId DataCentre;
  RackId Rack;
  /// Peer address of an entry host, HTTP address of a worker.
  Endpoint Address;
  HostState State = HostState::Live;
};

struct HostList {
  /// Time at which the platform generated the list, by the platform's clock.
  absl::Time Generated;
  std::vector<ListedHost> Hosts;
};

/// The platform's list of live and leaving hosts. The list lags behind: a
/// host that no longer runs may still be listed, and a new one may be missing.
class HostDirectory {
public:
  using Callback = std::function<void(absl::StatusOr<HostList>)>;

  virtual ~HostDirectory() = default;

  /// Reads the list. Error: PlatformUnavailable.
  virtual void fetch(Callback Done) = 0;
};

} // namespace vanillayard

#endif
