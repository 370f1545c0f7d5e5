#include "GatewayJson.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

#include <algorithm>
#include <set>

namespace vanillayard {

using nlohmann::json;

std::string textOf(const json &Object, const char *Name) {
  if (!Object.is_object())
    return {};
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

std::string bytesOf(const json &Object, const char *Name) {
  std::string Bytes;
  if (!absl::Base64Unescape(textOf(Object, Name), &Bytes))
    Bytes.clear();
  return Bytes;
}

int64_t numberOf(const json &Object, const char *Name) {
  if (!Object.is_object())
    return 0;
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return 0;
  if (Found->is_number_integer())
    return Found->get<int64_t>();
  int64_t Value = 0;
  if (!Found->is_string() ||
      !absl::SimpleAtoi(Found->get<std::string>(), &Value))
    return 0;
  return Value;
}

KeyRange rangeOf(const json &Object) {
  return {bytesOf(Object, "key"), bytesOf(Object, "range_end")};
}

const json &arrayOf(const json &Object, const char *Name) {
  static const json Empty = json::array();
  if (!Object.is_object())
    return Empty;
  auto Found = Object.find(Name);
  return Found == Object.end() || !Found->is_array() ? Empty : *Found;
}

std::string toBase64(const std::string &Bytes) {
  return absl::Base64Escape(Bytes);
}

static void setUnlessZero(json &Object, const char *Name, int64_t Value) {
  if (Value != 0)
    Object[Name] = std::to_string(Value);
}

json keyToJson(const KeyValue &Value) {
  json Result = {{"key", toBase64(Value.Key)}};
  if (!Value.Value.empty())
    Result["value"] = toBase64(Value.Value);
  setUnlessZero(Result, "create_revision", Value.CreateRevision);
  setUnlessZero(Result, "mod_revision", Value.ModRevision);
  setUnlessZero(Result, "version", Value.Version);
  setUnlessZero(Result, "lease", Value.Lease);
  return Result;
}

/// Adds the keys that \p Operations put to \p Keys. Returns false if a key is
/// put twice.
static bool collectKeys(const json &Operations, std::set<std::string> &Keys) {
  for (const json &Operation : Operations) {
    if (!Operation.is_object())
      continue;
    if (Operation.contains("request_put") &&
        !Keys.insert(textOf(Operation["request_put"], "key")).second)
      return false;
    if (!Operation.contains("request_txn"))
      continue;
    // Only one of the two branches is executed, so both may put the same key.
    const json &Nested = Operation["request_txn"];
    std::set<std::string> Then = Keys;
    std::set<std::string> Else = Keys;
    if (!collectKeys(arrayOf(Nested, "success"), Then) ||
        !collectKeys(arrayOf(Nested, "failure"), Else))
      return false;
    Keys.insert(Then.begin(), Then.end());
    Keys.insert(Else.begin(), Else.end());
  }
  return true;
}

static bool isTooLong(const json &Request, size_t MaxOperations) {
  size_t Count = std::max({arrayOf(Request, "compare").size(),
                           arrayOf(Request, "success").size(),
                           arrayOf(Request, "failure").size()});
  if (Count > MaxOperations)
    return true;
  for (const char *Branch : {"success", "failure"})
    for (const json &Operation : arrayOf(Request, Branch))
      if (Operation.is_object() && Operation.contains("request_txn") &&
          isTooLong(Operation["request_txn"], MaxOperations - Count))
        return true;
  return false;
}

absl::Status checkTxn(const json &Request, size_t MaxOperations) {
  if (isTooLong(Request, MaxOperations))
    return absl::InvalidArgumentError(
        "etcdserver: too many operations in txn request");
  for (const char *Branch : {"success", "failure"}) {
    std::set<std::string> Keys;
    if (!collectKeys(arrayOf(Request, Branch), Keys))
      return absl::InvalidArgumentError(
          "etcdserver: duplicate key given in txn request");
  }
  return absl::OkStatus();
}

} // namespace vanillayard
