#ifndef VANILLAYARD_STANDIN_PLATFORM_GATEWAYJSON_H
#define VANILLAYARD_STANDIN_PLATFORM_GATEWAYJSON_H

#include "standin_platform/KeyValueState.h"

#include "absl/status/status.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace vanillayard {

/// Decodes a base64 property; empty if it is missing or not base64.
std::string bytesOf(const nlohmann::json &Object, const char *Name);

/// 64-bit property, given as a string or a number; 0 if it is missing or
/// neither.
int64_t numberOf(const nlohmann::json &Object, const char *Name);

/// String property; empty if it is missing or not a string.
std::string textOf(const nlohmann::json &Object, const char *Name);

/// Key range from the properties `key` and `range_end`.
KeyRange rangeOf(const nlohmann::json &Object);

/// Array property; an empty array if it is missing or not an array.
const nlohmann::json &arrayOf(const nlohmann::json &Object, const char *Name);

std::string toBase64(const std::string &Bytes);

/// Encodes a key; attributes that are zero are left out.
nlohmann::json keyToJson(const KeyValue &Value);

/// Checks that a transaction has at most \p MaxOperations operations on any
/// path and puts no key twice. Error: InvalidArgument.
absl::Status checkTxn(const nlohmann::json &Request, size_t MaxOperations);

} // namespace vanillayard

#endif
