#ifndef VANILLAYARD_STANDIN_PLATFORM_GATEWAYJSON_H
#define VANILLAYARD_STANDIN_PLATFORM_GATEWAYJSON_H

#include "standin_platform/KeyValueState.h"

#include "absl/status/status.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace vanillayard {

/// Base64 property as bytes; empty if it is left out or not base64.
std::string bytesOf(const nlohmann::json &Object, const char *Name);

/// 64-bit property, given as a string or a number; 0 if it is left out.
int64_t numberOf(const nlohmann::json &Object, const char *Name);

std::string textOf(const nlohmann::json &Object, const char *Name);

KeyRange rangeOf(const nlohmann::json &Object);

/// Property that may be left out: an array of that name, or an empty one.
const nlohmann::json &arrayOf(const nlohmann::json &Object, const char *Name);

std::string toBase64(const std::string &Bytes);

/// A key without the attributes that are zero.
nlohmann::json keyToJson(const KeyValue &Value);

/// Checks the limits on a transaction: its number of operations and that no
/// key is written twice.
absl::Status checkTxn(const nlohmann::json &Request, size_t MaxOperations);

} // namespace vanillayard

#endif
