#ifndef VANILLAYARD_STANDIN_PLATFORM_ETCDGATEWAY_H
#define VANILLAYARD_STANDIN_PLATFORM_ETCDGATEWAY_H

#include "standin_platform/KeyValueState.h"

#include "absl/status/statusor.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

class LeaseTable;

/// Implements the part of the etcd v3 JSON gateway that the project uses, on
/// KeyValueState and LeaseTable. In its JSON, bytes are base64, 64-bit numbers
/// are strings, and zero values are left out.
class EtcdGateway {
public:
  /// Maximum number of operations on any path through a transaction and the
  /// transactions nested in it.
  static constexpr size_t MaxTxnOperations = 128;
  /// Maximum size of a value, in bytes.
  static constexpr size_t MaxValueBytes = 1 << 20;

  /// The parameters of a watch, from its create_request.
  struct WatchRequest {
    KeyRange Range;
    /// 0 for only the changes after the watch is created.
    int64_t StartRevision = 0;
  };

  EtcdGateway(KeyValueState &State, LeaseTable &Leases)
      : State(State), Leases(Leases) {}

  /// Executes one call other than a watch.
  /// \param Path such as "/v3/kv/txn".
  /// \param StaleBy number of revisions by which reads without a revision lag.
  /// Errors: NotFound for an unknown path, InvalidArgument, OutOfRange for a
  /// revision that is in the future or has been compacted.
  absl::StatusOr<nlohmann::json>
  call(const std::string &Path, const nlohmann::json &Request, int64_t StaleBy);

  absl::StatusOr<WatchRequest> parseWatch(const nlohmann::json &Request) const;
  nlohmann::json watchCreated(const WatchRequest &Request) const;
  nlohmann::json watchEvents(const std::vector<KeyEvent> &Events) const;

  nlohmann::json header() const;

private:
  absl::StatusOr<nlohmann::json> range(const nlohmann::json &Request,
                                       int64_t StaleBy) const;
  absl::StatusOr<nlohmann::json> put(const nlohmann::json &Request);
  absl::StatusOr<nlohmann::json> deleteRange(const nlohmann::json &Request);
  absl::StatusOr<nlohmann::json> txn(const nlohmann::json &Request);
  absl::StatusOr<nlohmann::json> operation(const nlohmann::json &Request);
  bool compareHolds(const nlohmann::json &Compare) const;
  absl::StatusOr<nlohmann::json> lease(const std::string &Path,
                                       const nlohmann::json &Request);

  KeyValueState &State;
  LeaseTable &Leases;
};

} // namespace vanillayard

#endif
