#ifndef VANILLAYARD_CONTROL_CONFIGURATIONFEED_H
#define VANILLAYARD_CONTROL_CONFIGURATIONFEED_H

#include "fleet/FleetConfiguration.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillayard {

class CoordinationStore;
class Executor;
class Log;
class QueueTable;

/// Follows the operators' configuration in the store. The version in force
/// never goes back.
class ConfigurationFeed {
public:
  using Decoder =
      std::function<absl::StatusOr<FleetConfiguration>(std::string_view)>;
  using ChangeCallback = std::function<void(std::shared_ptr<const QueueTable>)>;

  /// \param Key of the configuration in the store.
  /// \param Decode reads the operators' format.
  ConfigurationFeed(Executor &Exec, CoordinationStore &Store, Log &Events,
                    std::string Key, Decoder Decode);
  ~ConfigurationFeed();

  /// \param Changed called for each new version, also the first.
  void start(ChangeCallback Changed);

  /// The configuration in force, or null before the first.
  std::shared_ptr<const QueueTable> current() const;
  /// When the store last answered; InfinitePast before its first answer.
  absl::Time confirmedAt() const;

  class Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
