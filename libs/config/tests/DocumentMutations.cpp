#include "DocumentMutations.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <regex>
#include <sstream>

namespace vanillayard {

using nlohmann::json;

std::string readSample(const std::string &Name) {
  std::ifstream File(std::string(SAMPLES_DIR) + "/" + Name);
  EXPECT_TRUE(File.good()) << Name;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// Converts the JSON pointer "/accounts/0/name" to "accounts[0].name".
static std::string dottedPath(const std::string &Pointer) {
  std::string Path =
      std::regex_replace(Pointer, std::regex("/([0-9]+)"), "[$1]");
  Path = std::regex_replace(Path, std::regex("/"), ".");
  return Path.substr(Path.empty() || Path[0] != '.' ? 0 : 1);
}

static void expectRefused(const json &Document, const ParseDocument &Parse,
                          const std::string &Path, const std::string &Rule) {
  absl::Status Status = Parse(Document.dump());
  std::string Message(Status.message());
  EXPECT_FALSE(Status.ok()) << Path;
  std::smatch Match;
  std::string Escaped =
      std::regex_replace(Path, std::regex(R"([.\[\]])"), R"(\$&)");
  EXPECT_TRUE(std::regex_search(Message, Match,
                                std::regex("(^|\n)" + Escaped + ": " + Rule)))
      << Path << " is not explained by: " << Message;
}

static void mutateScalar(json Document, const json::json_pointer &Pointer,
                         const ParseDocument &Parse) {
  std::string Path = dottedPath(Pointer.to_string());
  const json Original = Document[Pointer];
  Document[Pointer] = nullptr;
  expectRefused(Document, Parse, Path, "is null; must be \\S+");
  Document[Pointer] = json::object();
  expectRefused(Document, Parse, Path, "is \\{\\}; must be \\S+");
  if (Original.is_number()) {
    for (const json &Value : {json(-1e18), json(1e18), json("7")}) {
      Document[Pointer] = Value;
      expectRefused(
          Document, Parse, Path,
          "is .*; must be ((an integer|a number) from \\S+ to \\S+|one "
          "of [0-9, ]+) [a-z]+");
    }
    Document[Pointer] = UINT64_MAX;
    expectRefused(Document, Parse, Path, "is 18446744073709551615; must be");
  } else if (Original.is_string()) {
    Document[Pointer] = "no/such value";
    expectRefused(Document, Parse, Path, "is \"no/such value\"; must be \\S+");
  }
}

static void mutateObject(json Document, const json::json_pointer &Pointer,
                         const ParseDocument &Parse) {
  std::string Path = dottedPath((Pointer / "bogus").to_string());
  json Changed = Document;
  Changed[Pointer]["bogus"] = 1;
  // An object whose properties are names of kinds accepts only such names.
  expectRefused(Changed, Parse, Path, "is not (a known property|the name)");
  for (const auto &[Name, Value] : Document[Pointer].items()) {
    Changed = Document;
    Changed[Pointer].erase(Name);
    // A document without an optional value is accepted.
    if (!Parse(Changed.dump()).ok())
      expectRefused(Changed, Parse, dottedPath((Pointer / Name).to_string()),
                    "is missing; must be \\S+");
  }
}

static void mutateAll(const json &Document, const json::json_pointer &Pointer,
                      const ParseDocument &Parse) {
  const json &Value = Document[Pointer];
  if (!Value.is_structured()) {
    mutateScalar(Document, Pointer, Parse);
    return;
  }
  if (Value.is_object())
    mutateObject(Document, Pointer, Parse);
  for (const auto &[Name, Part] : Value.items())
    mutateAll(Document,
              Value.is_array() ? Pointer / std::stoul(Name) : Pointer / Name,
              Parse);
}

void expectEveryMutationRefused(const std::string &Sample,
                                const ParseDocument &Parse) {
  ASSERT_TRUE(Parse(Sample).ok()) << Parse(Sample);
  mutateAll(json::parse(Sample), json::json_pointer(), Parse);
}

} // namespace vanillayard
