#ifndef VANILLAYARD_DAEMON_SRC_PEERCONFIGURATIONSOURCE_H
#define VANILLAYARD_DAEMON_SRC_PEERCONFIGURATIONSOURCE_H

#include "configsync/ConfigurationPeers.h"

namespace vanillayard {

class Membership;

/// Reads the configuration documents of other entry hosts over the peer
/// connections.
class PeerConfigurationSource final : public ConfigurationPeers {
public:
  explicit PeerConfigurationSource(Membership &Peers) : Peers(Peers) {}

  void fetchDocument(const HostId &Host, int64_t KnownGeneration,
                     Callback Done) override;

private:
  Membership &Peers;
};

} // namespace vanillayard

#endif
