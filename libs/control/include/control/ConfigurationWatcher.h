#ifndef VANILLAYARD_CONTROL_CONFIGURATIONWATCHER_H
#define VANILLAYARD_CONTROL_CONFIGURATIONWATCHER_H

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

/// Watches the operators' configuration in the store and applies each higher
/// version. The version in force never decreases.
class ConfigurationWatcher {
public:
  using Decoder =
      std::function<absl::StatusOr<FleetConfiguration>(std::string_view)>;
  using ChangeCallback = std::function<void(std::shared_ptr<const QueueTable>)>;

  /// \param Key the configuration's key in the store.
  /// \param Decode parses the operators' format.
  ConfigurationWatcher(Executor &Exec, CoordinationStore &Store, Log &Events,
                       std::string Key, Decoder Decode);
  ~ConfigurationWatcher();

  /// \param Changed called for each version applied, including the first.
  void start(ChangeCallback Changed);

  /// The configuration in force; null before the first one.
  std::shared_ptr<const QueueTable> current() const;
  /// When the store last answered a read or a watch; InfinitePast before its
  /// first answer.
  absl::Time confirmedAt() const;

  class Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
