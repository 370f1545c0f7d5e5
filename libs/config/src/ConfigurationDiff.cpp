#include "config/ConfigurationDiff.h"

#include "ConfigurationJson.h"
#include "config/Configuration.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using nlohmann::json;

// Returns the key by which array elements of two documents are matched.
static std::string elementName(const json &Element) {
  if (Element.contains("name"))
    return Element["name"].get<std::string>();
  return fmt::format("{} {}x{}", Element.value("data_centre", ""),
                     Element.value("workers", 1),
                     Element.value("accelerators_per_cell", 0));
}

// Converts each array to an object with its elements by name, and each
// guarantee to its count.
static json keyByName(const json &Value) {
  if (Value.is_object()) {
    json Result = json::object();
    for (const auto &[Name, Part] : Value.items())
      Result[Name] = keyByName(Part);
    return Result;
  }
  if (!Value.is_array())
    return Value;
  json Result = json::object();
  for (const json &Element : Value) {
    json Part = keyByName(Element);
    Part.erase("name");
    Result["[" + elementName(Element) + "]"] =
        Element.contains("count") ? Element["count"] : Part;
  }
  return Result;
}

static std::string childPath(const std::string &Path, const std::string &Name) {
  return Path.empty() || Name.front() == '[' ? Path + Name : Path + "." + Name;
}

static void compareValues(const std::string &Path, const json &From,
                          const json &To, std::vector<std::string> &Lines) {
  if (From == To)
    return;
  if (!From.is_object() || !To.is_object()) {
    Lines.push_back(
        fmt::format("~ {}: {} -> {}", Path, From.dump(), To.dump()));
    return;
  }
  for (const auto &[Name, Part] : From.items())
    if (To.contains(Name))
      compareValues(childPath(Path, Name), Part, To[Name], Lines);
    else
      Lines.push_back(
          fmt::format("- {}: {}", childPath(Path, Name), Part.dump()));
  for (const auto &[Name, Part] : To.items())
    if (!From.contains(Name))
      Lines.push_back(
          fmt::format("+ {}: {}", childPath(Path, Name), Part.dump()));
}

std::vector<std::string> ConfigurationDiff::compare(const Configuration &From,
                                                    const Configuration &To) {
  json Old = keyByName(configurationToJson(From));
  json New = keyByName(configurationToJson(To));
  Old.erase("generation");
  New.erase("generation");
  std::vector<std::string> Lines;
  compareValues("", Old, New, Lines);
  return Lines;
}

} // namespace vanillayard
