#ifndef VANILLAYARD_STORE_ETCDJSON_H
#define VANILLAYARD_STORE_ETCDJSON_H

#include "store/Store.h"

#include "absl/status/statusor.h"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Makes a PlatformUnavailable error.
absl::Status platformError(std::string_view Detail);

/// Exclusive end of the range of all keys that begin with \p Prefix; "\0",
/// which etcd reads as no end, if no key is greater than all of them.
std::string prefixEnd(const std::string &Prefix);

/// Body of a range call for the keys from \p Key up to \p End, or for \p Key
/// alone if \p End is empty. A \p Limit or \p Revision of 0 is left out.
nlohmann::json rangeRequest(const std::string &Key, const std::string &End,
                            int Limit, int64_t Revision);
/// Body of a watch call. A \p FromRevision of 0 is left out.
nlohmann::json watchRequest(const std::string &Prefix, int64_t FromRevision);
/// Body of a txn call: one nested transaction for each write.
nlohmann::json txnRequest(std::span<const ConditionalWrite> Writes);

/// The parsers below fail with PlatformUnavailable if an answer does not follow
/// the protocol.
absl::StatusOr<RangeResult> parseRange(const nlohmann::json &Answer);
absl::StatusOr<std::vector<WriteResult>>
parseTxn(const nlohmann::json &Answer,
         std::span<const ConditionalWrite> Writes);
absl::StatusOr<std::vector<WatchEvent>>
parseEvents(const nlohmann::json &Result);

} // namespace vanillayard

#endif
