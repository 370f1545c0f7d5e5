#ifndef VANILLAYARD_LOAD_DEPLOYMENTCONFIGURATION_H
#define VANILLAYARD_LOAD_DEPLOYMENTCONFIGURATION_H

#include "config/Configuration.h"

namespace vanillayard {

struct Deployment;

/// Builds the operator's configuration of a deployment under test.
class DeploymentConfiguration {
public:
  /// Share of the slots that the preset reserves for urgent kinds.
  static constexpr double UrgentReserve = 0.125;

  /// Returns generation 1, with the deployment's kinds and their weights in
  /// one preset, its accounts, and \p ExtraAccounts more accounts without
  /// guarantees. It guarantees a large account one whole worker in each data
  /// centre and a small account two accelerators.
  static Configuration make(const Deployment &TestDeployment,
                            int ExtraAccounts = 0);
};

} // namespace vanillayard

#endif
