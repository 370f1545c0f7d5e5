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

/// A kind of work as an experiment uses it.
struct DeploymentKind {
  KindOfWorkId Name;
  double Weight = 1;
  bool Repeatable = true;
};

/// Sizes and kinds of work of a deployment (section 1.3 of the design page).
struct Deployment {
  static constexpr int SlotsPerWorker = 8;
  static constexpr int AcceleratorsPerWorker = 8;
  static constexpr int ConnectionsPerWorker = 64;

  std::string Name;
  std::vector<DataCentreSize> DataCentres;
  int WorkersPerRack = 1;
  /// The first few are large.
  std::vector<ClientAccountId> Accounts;
  DeploymentKind MostUrgent;
  DeploymentKind Middle;
  DeploymentKind LeastUrgent;

  int hosts() const;
  int workers() const;
  int slots() const { return this->workers() * SlotsPerWorker; }
  /// Share of the slots that a kind's weight entitles it to.
  double shareOf(const DeploymentKind &Kind) const;

  /// "kalahari", "swanbag" or "small". Errors: NotFound.
  static absl::StatusOr<Deployment> named(std::string_view Name);
};

} // namespace vanillayard

#endif
