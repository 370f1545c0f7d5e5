#ifndef VANILLAYARD_CONFIGSYNC_CONFIGURATIONTASK_H
#define VANILLAYARD_CONFIGSYNC_CONFIGURATIONTASK_H

#include "base/Executor.h"
#include "base/Ids.h"
#include "store/Store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

struct Configuration;
class ConfigurationPeers;

/// Owns the configuration in force on one host.
///
/// The task applies a document only if its generation is higher than the one
/// in force, whatever its source: a watch, a periodic read, or a peer. So stale
/// data from the store cannot revert a change.
class ConfigurationTask {
public:
  /// Key of the document in the store.
  static constexpr char Key[] = "/vanillayard/config";
  /// Time between two reads. If a watch fails silently, a change is delayed by
  /// at most this time, which is below the 3 s that a change may take.
  static constexpr absl::Duration ReadInterval = absl::Seconds(2);
  /// First and longest wait before a watch that ended is opened again.
  static constexpr absl::Duration MinWatchBackoff = absl::Milliseconds(100);
  static constexpr absl::Duration MaxWatchBackoff = absl::Seconds(5);
  /// Number of consecutive failed reads from which on the store counts as
  /// unreachable.
  static constexpr int UnreachableAfterFailedReads = 3;

  /// \param Changed called each time after a configuration came into force.
  ConfigurationTask(Executor &Exec, Store &ConfigStore,
                    ConfigurationPeers &Peers, std::function<void()> Changed);
  ~ConfigurationTask();
  ConfigurationTask(const ConfigurationTask &) = delete;
  ConfigurationTask &operator=(const ConfigurationTask &) = delete;

  /// Starts the periodic reads and the watch.
  void start();

  /// The configuration in force; null if there is none.
  std::shared_ptr<const Configuration> current() const { return this->Current; }
  /// The document in force as it was read; empty if there is none.
  const std::string &document() const { return this->Document; }
  /// Generation in force; 0 if there is none.
  int64_t generation() const;
  bool isStoreReachable() const {
    return this->FailedReads < UnreachableAfterFailedReads;
  }
  /// Number of documents that came into force, and number of documents that
  /// were refused because they were invalid.
  int64_t appliedCount() const { return this->Applied; }
  int64_t refusedCount() const { return this->Refused; }

  /// Why the last invalid document was refused; OK if there was none.
  const absl::Status &lastRefusal() const { return this->Refusal; }
  int64_t watchesOpened() const { return this->WatchesOpened; }

  /// Asks \p Peer for its document if \p Generation, the one that it announced,
  /// is higher than the one in force and no such request is in flight.
  void onNewerGeneration(const HostId &Peer, int64_t Generation);

private:
  void read();
  void onReadDone(const absl::StatusOr<RangeResult> &Result);
  void openWatch(int64_t FromRevision);
  void onWatchEnded();
  void applyStored(const StoredValue &Value);
  void apply(const std::string &Text);

  Executor &Exec;
  Store &ConfigStore;
  ConfigurationPeers &Peers;
  std::function<void()> Changed;
  std::shared_ptr<const Configuration> Current;
  std::string Document;
  std::unique_ptr<StoreWatch> Watch;
  absl::Duration WatchBackoff = MinWatchBackoff;
  absl::Time NextWatchTime = absl::InfinitePast();
  Executor::TimerId ReadTimer = 0;
  /// Highest revision at which a document was seen in the store. A read does
  /// not return a document that has not changed since, so that periodic reads
  /// stay within the budget for control traffic.
  int64_t SeenRevision = 0;
  bool ReadInFlight = false;
  /// A read was skipped because another one was in flight.
  bool ReadSkipped = false;
  bool FetchInFlight = false;
  int FailedReads = 0;
  int64_t Applied = 0;
  int64_t Refused = 0;
  std::string RefusedDocument;
  absl::Status Refusal;
  int64_t WatchesOpened = 0;
  /// Callbacks hold a weak pointer to this and do nothing after it has expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
