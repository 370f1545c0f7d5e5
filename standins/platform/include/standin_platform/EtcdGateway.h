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

/// Translates the used part of the etcd v3 JSON gateway to KeyValueState and
/// LeaseTable: bytes in base64, 64-bit numbers as strings, zero values left
/// out.
class EtcdGateway {
public:
  /// Most operations of one transaction, nested ones included on their path.
  static constexpr size_t MaxTxnOperations = 128;
  /// Longest value, in bytes.
  static constexpr size_t MaxValueBytes = 1 << 20;

  /// A watch as its create_request asks for it.
  struct WatchRequest {
    KeyRange Range;
    /// 0: from the present on.
    int64_t StartRevision = 0;
  };

  EtcdGateway(KeyValueState &State, LeaseTable &Leases)
      : State(State), Leases(Leases) {}

  /// Carries out one call that is not a watch.
  /// \param Path such as "/v3/kv/txn".
  /// \param StaleBy revisions that reads without a revision lag behind.
  /// Errors: NotFound for an unknown path, InvalidArgument, OutOfRange for a
  /// revision that is not kept any more.
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
  bool holds(const nlohmann::json &Compare) const;
  absl::StatusOr<nlohmann::json> lease(const std::string &Path,
                                       const nlohmann::json &Request);

  KeyValueState &State;
  LeaseTable &Leases;
};

} // namespace vanillayard

#endif
