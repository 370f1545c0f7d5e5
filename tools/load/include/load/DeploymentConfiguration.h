#ifndef VANILLAYARD_LOAD_DEPLOYMENTCONFIGURATION_H
#define VANILLAYARD_LOAD_DEPLOYMENTCONFIGURATION_H

#include "config/Configuration.h"

namespace vanillayard {

struct Deployment;

/// Makes operators' configurations for deployments under test.
class DeploymentConfiguration {
public:
  /// Share of the slots that the preset reserves for urgent kinds.
  static constexpr double UrgentReserve = 0.125;

  /// Generation 1, with the deployment's kinds and their weights in one
  /// preset, its accounts, and \p ExtraAccounts more without guarantees. Large
  /// accounts are guaranteed a whole worker in each data centre, small ones
  /// two accelerators.
  static Configuration make(const Deployment &Size, int ExtraAccounts = 0);
};

} // namespace vanillayard

#endif
