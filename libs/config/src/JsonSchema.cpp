#include "JsonSchema.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"

#include "absl/strings/str_join.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <set>

namespace vanillayard {

using nlohmann::json;

class JsonSchema::Impl {
public:
  json Document;
  valijson::Schema Compiled;
};

namespace {

/// A place in a document with the part of the schema that applies to it.
struct Place {
  std::string Path;
  const json *Value = nullptr;
  const json *Schema = nullptr;
};

} // namespace

static std::string joinPath(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

// Steps from a place to the property or element that valijson calls "[Name]".
static bool descend(Place &At, const std::string &Name) {
  if (At.Value->is_array()) {
    size_t Index = std::strtoul(Name.c_str(), nullptr, 10);
    if (!At.Schema->contains("items") || Index >= At.Value->size())
      return false;
    At.Path += fmt::format("[{}]", Index);
    At.Value = &(*At.Value)[Index];
    At.Schema = &(*At.Schema)["items"];
    return true;
  }
  if (!At.Value->is_object() || !At.Value->contains(Name))
    return false;
  At.Path = joinPath(At.Path, Name);
  At.Value = &(*At.Value)[Name];
  if (At.Schema->contains("properties") &&
      (*At.Schema)["properties"].contains(Name)) {
    At.Schema = &(*At.Schema)["properties"][Name];
    return true;
  }
  if (!At.Schema->contains("additionalProperties") ||
      !(*At.Schema)["additionalProperties"].is_object())
    return false;
  At.Schema = &(*At.Schema)["additionalProperties"];
  return true;
}

static std::string shortDump(const json &Value) {
  static constexpr size_t MaxLength = 60;
  std::string Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (Text.size() > MaxLength)
    Text = Text.substr(0, MaxLength) + "...";
  return Text;
}

// Says in words what the schema asks of a value.
static std::string ruleOf(const json &Schema) {
  if (Schema.contains("enum")) {
    std::vector<std::string> Values;
    for (const json &Value : Schema["enum"])
      Values.push_back(Value.dump());
    std::string Rule = "one of " + absl::StrJoin(Values, ", ");
    if (Schema.contains("x-unit"))
      Rule += " " + Schema["x-unit"].get<std::string>();
    return Rule;
  }
  std::string Type = Schema.value("type", "value");
  if (Type == "integer" || Type == "number")
    return fmt::format("{} from {} to {} {}",
                       Type == "integer" ? "an integer" : "a number",
                       Schema["minimum"].dump(), Schema["maximum"].dump(),
                       Schema.value("x-unit", ""));
  if (Type == "array")
    return fmt::format("an array of {} to {} elements",
                       Schema.value("minItems", 0),
                       Schema.value("maxItems", 0));
  if (Type == "boolean")
    return "true or false";
  return Schema.value("x-rule", Type == "object" ? "an object" : "a string");
}

static void explainObject(const Place &At, std::set<std::string> &Lines) {
  const json &Schema = *At.Schema;
  if (Schema.contains("required"))
    for (const json &Entry : Schema["required"]) {
      std::string Name = Entry.get<std::string>();
      if (!At.Value->contains(Name))
        Lines.insert(fmt::format("{}: is missing; must be {}",
                                 joinPath(At.Path, Name),
                                 ruleOf(Schema["properties"][Name])));
    }
  bool IsClosed = Schema.contains("additionalProperties") &&
                  Schema["additionalProperties"].is_boolean();
  if (!IsClosed)
    return;
  for (const auto &[Name, Value] : At.Value->items())
    if (!Schema["properties"].contains(Name))
      Lines.insert(
          fmt::format("{}: is not a known property", joinPath(At.Path, Name)));
}

static void explain(const Place &At, const std::string &Description,
                    std::set<std::string> &Lines) {
  const json &Schema = *At.Schema;
  std::string Type = Schema.value("type", "value");
  bool IsTypeRight = (Type == "object" && At.Value->is_object()) ||
                     (Type == "array" && At.Value->is_array());
  if (Type == "object" && IsTypeRight) {
    explainObject(At, Lines);
    return;
  }
  // An array is reported for each fault within it; only its length is its own.
  if (IsTypeRight && Description.find("Array should") == std::string::npos)
    return;
  if (IsTypeRight)
    Lines.insert(fmt::format("{}: has {} elements; must be {}", At.Path,
                             At.Value->size(), ruleOf(Schema)));
  else
    Lines.insert(fmt::format("{}: is {}; must be {}",
                             At.Path.empty() ? "document" : At.Path,
                             shortDump(*At.Value), ruleOf(Schema)));
}

JsonSchema::JsonSchema(std::string_view Text)
    : Implementation(std::make_unique<Impl>()) {
  this->Implementation->Document = json::parse(Text);
  valijson::SchemaParser Parser;
  Parser.populateSchema(
      valijson::adapters::NlohmannJsonAdapter(this->Implementation->Document),
      this->Implementation->Compiled);
}

JsonSchema::~JsonSchema() = default;

std::vector<std::string> JsonSchema::check(const json &Document) const {
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  if (Validator.validate(this->Implementation->Compiled,
                         valijson::adapters::NlohmannJsonAdapter(Document),
                         &Results))
    return {};
  std::set<std::string> Lines;
  std::string Fallback = "document: is not valid";
  for (const valijson::ValidationResults::Error &Error : Results) {
    Place At{"", &Document, &this->Implementation->Document};
    bool IsKnown = true;
    for (size_t I = 1; IsKnown && I < Error.context.size(); ++I)
      IsKnown =
          descend(At, Error.context[I].substr(1, Error.context[I].size() - 2));
    if (IsKnown)
      explain(At, Error.description, Lines);
    else
      Fallback = fmt::format("{}: {}", At.Path, Error.description);
  }
  if (Lines.empty())
    Lines.insert(Fallback);
  return {Lines.begin(), Lines.end()};
}

absl::StatusOr<json> parseJson(std::string_view Text, size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    return makeError(ErrorKind::InvalidRequest,
                     fmt::format("document: has {} bytes; must have at most {} "
                                 "bytes",
                                 Text.size(), MaxBytes));
  // A property that is given twice would silently lose one of its values.
  std::vector<std::set<std::string>> Seen;
  std::string Twice;
  auto Watch = [&](int, json::parse_event_t Event, json &Value) {
    if (Event == json::parse_event_t::object_start)
      Seen.emplace_back();
    else if (Event == json::parse_event_t::object_end)
      Seen.pop_back();
    else if (Event == json::parse_event_t::key &&
             !Seen.back().insert(Value.get<std::string>()).second)
      Twice = Value.get<std::string>();
    return true;
  };
  json Document = json::parse(Text, Watch, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return makeError(ErrorKind::InvalidRequest, "document: is not JSON");
  if (!Twice.empty())
    return makeError(ErrorKind::InvalidRequest,
                     fmt::format("{}: is given twice in one object", Twice));
  return Document;
}

absl::Status faultsToStatus(const std::vector<std::string> &Faults) {
  if (Faults.empty())
    return absl::OkStatus();
  return makeError(ErrorKind::InvalidRequest, absl::StrJoin(Faults, "\n"));
}

} // namespace vanillayard
