#ifndef VANILLAYARD_LOAD_DEPLOYMENT_H
#define VANILLAYARD_LOAD_DEPLOYMENT_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Sizes of one data centre.
struct DataCentreSize {
  DataCentreId Name;
  int Hosts = 1;
  int Workers = 1;
};

/// A kind of work, its weight and whether its requests may be repeated.
struct DeploymentKind {
  KindOfWorkId Name;
  double Weight = 1;
  bool Repeatable = true;
};

/// Sizes and kinds of work of a deployment (docs/design.md, section 1.3).
struct Deployment {
  static constexpr int SlotsPerWorker = 8;
  static constexpr int AcceleratorsPerWorker = 8;
  static constexpr int ConnectionsPerWorker = 64;

  std::string Name;
  std::vector<DataCentreSize> DataCentres;
  int WorkersPerRack = 1;
  /// DeploymentConfiguration gives the first two the guarantees of large
  /// accounts.
  std::vector<ClientAccountId> Accounts;
  DeploymentKind MostUrgent;
  DeploymentKind Middle;
  DeploymentKind LeastUrgent;

  int hosts() const;
  int workers() const;
  int slots() const { return this->workers() * SlotsPerWorker; }
  /// Share of the slots that a kind's weight entitles it to.
  double entitledShareOf(const DeploymentKind &Kind) const;

  /// "kalahari", "swanbag" or "small". Errors: NotFound.
  static absl::StatusOr<Deployment> named(std::string_view Name);
};

} // namespace vanillayard

#endif
