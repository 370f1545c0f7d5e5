#ifndef VANILLAYARD_CONFIGSYNC_CONFIGURATIONWRITER_H
#define VANILLAYARD_CONFIGSYNC_CONFIGURATIONWRITER_H

#include "base/Executor.h"
#include "config/Configuration.h"
#include "store/Store.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillayard {

/// Reads and replaces the operators' configuration in the store by
/// compare-and-swap, so it never overwrites a change that was made after the
/// read.
class ConfigurationWriter {
public:
  /// The configuration that was read from the store, with its revision.
  struct StoredConfiguration {
    /// Empty if there is none yet.
    std::optional<Configuration> Config;
    /// 0 if there is none yet.
    int64_t ModRevision = 0;
  };

  using ReadCallback = std::function<void(absl::StatusOr<StoredConfiguration>)>;
  using ApplyCallback = std::function<void(absl::StatusOr<Configuration>)>;

  /// \param Timeout time for one read() or apply(), including retries.
  ConfigurationWriter(Executor &Exec, Store &ConfigStore,
                      absl::Duration Timeout);
  /// No callback runs after the destructor.
  ~ConfigurationWriter();
  ConfigurationWriter(const ConfigurationWriter &) = delete;
  ConfigurationWriter &operator=(const ConfigurationWriter &) = delete;

  /// Reads the configuration and retries failed reads within the timeout.
  /// Errors: PlatformUnavailable; Internal if the stored document is not valid.
  void read(ReadCallback Done);

  /// Writes \p New with the generation after that of \p Base, and passes the
  /// written configuration to \p Done. If \p Base has no configuration, the
  /// generation of \p New is kept. A write without an answer is retried; the
  /// expected revision lets only one of the writes take effect.
  ///
  /// Errors: InvalidRequest; Conflict if another change was made since \p Base
  /// was read; OutcomeUnknown if the store did not answer within the timeout,
  /// in which case the change may still take effect.
  void apply(Configuration New, const StoredConfiguration &Base,
             ApplyCallback Done);

private:
  struct PendingApply;

  void tryRead(absl::Time Deadline, ReadCallback Done);
  void tryWrite(std::shared_ptr<PendingApply> Pending);
  void onWritten(const std::shared_ptr<PendingApply> &Pending,
                 const absl::StatusOr<std::vector<WriteResult>> &Results);

  Executor &Exec;
  Store &ConfigStore;
  absl::Duration Timeout;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
