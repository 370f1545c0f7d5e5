#include "JsonSchema.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"
#include "base/JsonText.h"

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

/// A value in a document with the part of the schema that applies to it.
struct Location {
  std::string Path;
  const json *Value = nullptr;
  const json *Schema = nullptr;
};

} // namespace

static std::string joinPath(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

// Moves Loc to the property or array element Name of its value, which valijson
// calls "[Name]". Returns false if the document or the schema has none.
static bool descendInto(Location &Loc, const std::string &Name) {
  if (Loc.Value->is_array()) {
    size_t Index = std::strtoul(Name.c_str(), nullptr, 10);
    if (!Loc.Schema->contains("items") || Index >= Loc.Value->size())
      return false;
    Loc.Path += fmt::format("[{}]", Index);
    Loc.Value = &(*Loc.Value)[Index];
    Loc.Schema = &(*Loc.Schema)["items"];
    return true;
  }
  if (!Loc.Value->is_object() || !Loc.Value->contains(Name))
    return false;
  Loc.Path = joinPath(Loc.Path, Name);
  Loc.Value = &(*Loc.Value)[Name];
  if (Loc.Schema->contains("properties") &&
      (*Loc.Schema)["properties"].contains(Name)) {
    Loc.Schema = &(*Loc.Schema)["properties"][Name];
    return true;
  }
  if (!Loc.Schema->contains("additionalProperties") ||
      !(*Loc.Schema)["additionalProperties"].is_object())
    return false;
  Loc.Schema = &(*Loc.Schema)["additionalProperties"];
  return true;
}

static std::string truncatedDump(const json &Value) {
  static constexpr size_t MaxLength = 60;
  std::string Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (Text.size() > MaxLength)
    Text = Text.substr(0, MaxLength) + "...";
  return Text;
}

// Describes in words what the schema requires of a value.
static std::string describeRule(const json &Schema) {
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

static void describeObjectErrors(const Location &Loc,
                                 std::set<std::string> &Lines) {
  const json &Schema = *Loc.Schema;
  if (Schema.contains("required"))
    for (const json &Entry : Schema["required"]) {
      std::string Name = Entry.get<std::string>();
      if (!Loc.Value->contains(Name))
        Lines.insert(fmt::format("{}: is missing; must be {}",
                                 joinPath(Loc.Path, Name),
                                 describeRule(Schema["properties"][Name])));
    }
  bool IsClosed = Schema.contains("additionalProperties") &&
                  Schema["additionalProperties"].is_boolean();
  if (!IsClosed)
    return;
  for (const auto &[Name, Value] : Loc.Value->items())
    if (!Schema["properties"].contains(Name))
      Lines.insert(
          fmt::format("{}: is not a known property", joinPath(Loc.Path, Name)));
}

static void describeErrors(const Location &Loc, const std::string &Description,
                           std::set<std::string> &Lines) {
  const json &Schema = *Loc.Schema;
  std::string Type = Schema.value("type", "value");
  bool IsTypeRight = (Type == "object" && Loc.Value->is_object()) ||
                     (Type == "array" && Loc.Value->is_array());
  if (Type == "object" && IsTypeRight) {
    describeObjectErrors(Loc, Lines);
    return;
  }
  // Errors within an array have their own entries in the results; here only its
  // length is described.
  if (IsTypeRight && Description.find("Array should") == std::string::npos)
    return;
  if (IsTypeRight)
    Lines.insert(fmt::format("{}: has {} elements; must be {}", Loc.Path,
                             Loc.Value->size(), describeRule(Schema)));
  else
    Lines.insert(fmt::format("{}: is {}; must be {}",
                             Loc.Path.empty() ? "document" : Loc.Path,
                             truncatedDump(*Loc.Value), describeRule(Schema)));
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
  std::string Fallback = "document: does not match the schema";
  for (const valijson::ValidationResults::Error &Error : Results) {
    Location Loc{"", &Document, &this->Implementation->Document};
    bool IsKnown = true;
    for (size_t I = 1; IsKnown && I < Error.context.size(); ++I)
      IsKnown = descendInto(
          Loc, Error.context[I].substr(1, Error.context[I].size() - 2));
    if (IsKnown)
      describeErrors(Loc, Error.description, Lines);
    else
      Fallback = fmt::format("{}: {}", Loc.Path, Error.description);
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
  // The parser would silently drop one value of a duplicate property.
  std::vector<std::set<std::string>> KeysOfOpenObjects;
  std::string DuplicateKey;
  auto OnParseEvent = [&](int, json::parse_event_t Event, json &Value) {
    if (Event == json::parse_event_t::object_start)
      KeysOfOpenObjects.emplace_back();
    else if (Event == json::parse_event_t::object_end)
      KeysOfOpenObjects.pop_back();
    else if (Event == json::parse_event_t::key &&
             !KeysOfOpenObjects.back().insert(Value.get<std::string>()).second)
      DuplicateKey = Value.get<std::string>();
    return true;
  };
  if (nestsDeeperThan(Text, MaxJsonDepth))
    return makeError(ErrorKind::InvalidRequest, "document: nests too deep");
  json Document = json::parse(Text, OnParseEvent, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return makeError(ErrorKind::InvalidRequest, "document: is not valid JSON");
  if (!DuplicateKey.empty())
    return makeError(
        ErrorKind::InvalidRequest,
        fmt::format("{}: is given twice in one object", DuplicateKey));
  return Document;
}

absl::Status errorsToStatus(const std::vector<std::string> &Errors) {
  if (Errors.empty())
    return absl::OkStatus();
  return makeError(ErrorKind::InvalidRequest, absl::StrJoin(Errors, "\n"));
}

} // namespace vanillayard
