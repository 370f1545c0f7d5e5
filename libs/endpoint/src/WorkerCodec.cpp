#include "endpoint/WorkerCodec.h"

#include "base/AbslView.h"
#include "base/JsonText.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <optional>

namespace vanillayard::worker_codec {

using nlohmann::json;

/// Reads the fields of one object and records whether all were well formed.
namespace {

class Reader {
public:
  explicit Reader(const json &Object)
      : Object(Object), Ok(Object.is_object()) {}

  bool ok() const { return this->Ok; }
  void fail() { this->Ok = false; }

  const json *find(const char *Name) const {
    if (!this->Object.is_object())
      return nullptr;
    auto Found = this->Object.find(Name);
    return Found == this->Object.end() ? nullptr : &*Found;
  }

  void read(const char *Name, std::string &Value, bool Required = false) {
    const json *Field = this->find(Name);
    if (Field && Field->is_string())
      Value = Field->get<std::string>();
    else if (Field || Required)
      this->fail();
  }

  template <typename Tag>
  void read(const char *Name, StrongId<Tag> &Value, bool Required = false) {
    std::string Text;
    this->read(Name, Text, Required);
    Value = StrongId<Tag>(std::move(Text));
  }

  void read(const char *Name, int &Value) {
    const json *Field = this->find(Name);
    std::optional<int> Count = Field ? countOf(*Field) : Value;
    if (Count)
      Value = *Count;
    else
      this->fail();
  }

  void read(const char *Name, double &Value) {
    const json *Field = this->find(Name);
    if (Field && Field->is_number())
      Value = Field->get<double>();
    else if (Field)
      this->fail();
  }

  void read(const char *Name, bool &Value) {
    const json *Field = this->find(Name);
    if (Field && Field->is_boolean())
      Value = Field->get<bool>();
    else if (Field)
      this->fail();
  }

  void read(const char *Name, absl::Duration &Value) {
    double Ms = absl::ToDoubleMilliseconds(Value);
    this->read(Name, Ms);
    Value = absl::Milliseconds(Ms);
  }

  void read(const char *Name, Epoch &Value) {
    const json *Field = this->find(Name);
    std::optional<Epoch> Decoded =
        Field ? decodeEpoch(*Field) : std::optional<Epoch>(Epoch());
    if (Decoded)
      Value = *Decoded;
    else
      this->fail();
  }

  void read(const char *Name, std::vector<int> &Value) {
    const json *Field = this->find(Name);
    if (!Field)
      return;
    if (!Field->is_array())
      return this->fail();
    for (const json &Index : *Field) {
      std::optional<int> Number = countOf(Index);
      if (!Number)
        return this->fail();
      Value.push_back(*Number);
    }
  }

private:
  /// A number of things or of one among them; nullopt if it is negative or does
  /// not fit.
  static std::optional<int> countOf(const json &In) {
    constexpr int64_t Largest = std::numeric_limits<int>::max();
    // The library reads integers beyond 2^63 as unsigned ones.
    bool IsTooLarge =
        In.is_number_unsigned() && In.get<uint64_t>() > uint64_t{Largest};
    if (!In.is_number_integer() || IsTooLarge || In.get<int64_t>() < 0 ||
        In.get<int64_t>() > Largest)
      return std::nullopt;
    return In.get<int>();
  }

  const json &Object;
  bool Ok;
};

} // namespace

template <typename T>
static void writeUnlessDefault(json &Object, const char *Name, const T &Value,
                               const T &Default) {
  if (Value != Default)
    Object[Name] = Value;
}

static void writeUnlessDefault(json &Object, const char *Name,
                               absl::Duration Value) {
  if (Value != absl::ZeroDuration())
    Object[Name] = absl::ToInt64Milliseconds(Value);
}

json encode(const Epoch &Value) {
  return json::array({Value.Term, Value.Holder.str()});
}

std::optional<Epoch> decodeEpoch(const json &Json) {
  if (!Json.is_array() || Json.size() != 2 || !Json[0].is_number_integer() ||
      !Json[1].is_string())
    return std::nullopt;
  return Epoch{Json[0].get<int64_t>(), HostId(Json[1].get<std::string>())};
}

/// Writes the fields that LeaseRequest and LeaseReport share.
template <typename T> static json encodeLease(const T &Value) {
  static const T Default;
  json Object = {{"lease", Value.Lease.str()}};
  writeUnlessDefault(Object, "owner", Value.Owner, Default.Owner);
  writeUnlessDefault(Object, "account", Value.Account.str(), std::string());
  writeUnlessDefault(Object, "kind", Value.Kind.str(), std::string());
  writeUnlessDefault(Object, "slots", Value.Slots, Default.Slots);
  writeUnlessDefault(Object, "accelerators", Value.Accelerators,
                     Default.Accelerators);
  if (Value.Holder != Epoch())
    Object["epoch"] = encode(Value.Holder);
  writeUnlessDefault(Object, "gang_size", Value.GangSize, Default.GangSize);
  writeUnlessDefault(Object, "member", Value.Member, Default.Member);
  writeUnlessDefault(Object, "reclaimable", Value.Reclaimable, false);
  return Object;
}

template <typename T> static void readLease(Reader &From, T &Value) {
  From.read("lease", Value.Lease, /*Required=*/true);
  From.read("owner", Value.Owner);
  From.read("account", Value.Account);
  From.read("kind", Value.Kind);
  From.read("slots", Value.Slots);
  From.read("accelerators", Value.Accelerators);
  From.read("epoch", Value.Holder);
  From.read("gang_size", Value.GangSize);
  From.read("member", Value.Member);
  From.read("reclaimable", Value.Reclaimable);
}

json encode(const LeaseRequest &Value) {
  json Object = encodeLease(Value);
  Object["ttl_ms"] = absl::ToInt64Milliseconds(Value.Ttl);
  return Object;
}

std::optional<LeaseRequest> decodeLeaseRequest(const json &Json) {
  Reader From(Json);
  LeaseRequest Value;
  readLease(From, Value);
  From.read("ttl_ms", Value.Ttl);
  return From.ok() ? std::optional(std::move(Value)) : std::nullopt;
}

json encode(const LeaseReport &Value) {
  json Object = encodeLease(Value);
  Object["state"] = LeaseStateNames.nameOf(Value.State);
  writeUnlessDefault(Object, "run_ms", Value.RunTime);
  writeUnlessDefault(Object, "checkpointed", Value.Checkpointed, false);
  return Object;
}

std::optional<LeaseReport> decodeLeaseReport(const json &Json) {
  Reader From(Json);
  LeaseReport Value;
  readLease(From, Value);
  std::string State;
  From.read("state", State, /*Required=*/true);
  std::optional<LeaseState> Parsed = LeaseStateNames.parse(State);
  From.read("run_ms", Value.RunTime);
  From.read("checkpointed", Value.Checkpointed);
  if (!From.ok() || !Parsed)
    return std::nullopt;
  Value.State = *Parsed;
  return Value;
}

json encode(const WorkerStatus &Value) {
  json Object = {{"worker", Value.Worker.str()},
                 {"rack", Value.Rack.str()},
                 {"incarnation", Value.Incarnation},
                 {"slots", Value.Slots},
                 {"free_slots", Value.FreeSlots},
                 {"connections", Value.Connections},
                 {"free_connections", Value.FreeConnections},
                 {"accelerators", Value.Accelerators}};
  writeUnlessDefault(Object, "draining", Value.Draining, false);
  writeUnlessDefault(Object, "usage", Value.Usage, 0.0);
  writeUnlessDefault(Object, "usage_lag_ms", Value.UsageLag);
  if (Value.Leases.empty())
    return Object;
  json &Leases = Object["leases"] = json::array();
  for (const LeaseReport &Lease : Value.Leases)
    Leases.push_back(encode(Lease));
  return Object;
}

std::optional<WorkerStatus> decodeStatus(const json &Json) {
  Reader From(Json);
  WorkerStatus Value;
  From.read("worker", Value.Worker, /*Required=*/true);
  From.read("rack", Value.Rack, /*Required=*/true);
  From.read("incarnation", Value.Incarnation, /*Required=*/true);
  From.read("slots", Value.Slots);
  From.read("free_slots", Value.FreeSlots);
  From.read("connections", Value.Connections);
  From.read("free_connections", Value.FreeConnections);
  From.read("accelerators", Value.Accelerators);
  From.read("draining", Value.Draining);
  From.read("usage", Value.Usage);
  From.read("usage_lag_ms", Value.UsageLag);
  const json *Leases = From.find("leases");
  if (!From.ok() || (Leases && !Leases->is_array()))
    return std::nullopt;
  for (size_t I = 0; Leases && I < Leases->size(); ++I) {
    std::optional<LeaseReport> Lease = decodeLeaseReport((*Leases)[I]);
    if (!Lease)
      return std::nullopt;
    Value.Leases.push_back(std::move(*Lease));
  }
  return Value;
}

std::string toText(const json &Json) {
  return Json.dump(-1, ' ', /*ensure_ascii=*/true,
                   json::error_handler_t::replace);
}

json fromText(std::string_view Text) {
  return parseUntrustedJson(Text);
}

static bool isUnreserved(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) || C == '-' ||
         C == '_' || C == '.' || C == '~' || C == ':';
}

std::string escape(std::string_view Id) {
  std::string Text;
  for (char C : Id) {
    if (isUnreserved(C))
      Text += C;
    else
      Text += fmt::format("%{:02X}", static_cast<unsigned char>(C));
  }
  return Text;
}

std::optional<std::string> unescape(std::string_view Text) {
  std::string Id;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Id += Text[I];
      continue;
    }
    if (I + 2 >= Text.size() ||
        !absl::ascii_isxdigit(static_cast<unsigned char>(Text[I + 1])) ||
        !absl::ascii_isxdigit(static_cast<unsigned char>(Text[I + 2])))
      return std::nullopt;
    Id += absl::HexStringToBytes(abslView(Text.substr(I + 1, 2)));
    I += 2;
  }
  return Id;
}

} // namespace vanillayard::worker_codec
