#include "DocumentFaults.h"

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

// "/accounts/0/name" as "accounts[0].name".
static std::string dotted(const std::string &Pointer) {
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

static void breakScalar(json Document, const json::json_pointer &At,
                        const ParseDocument &Parse) {
  std::string Path = dotted(At.to_string());
  const json Original = Document[At];
  Document[At] = nullptr;
  expectRefused(Document, Parse, Path, "is null; must be \\S+");
  Document[At] = json::object();
  expectRefused(Document, Parse, Path, "is \\{\\}; must be \\S+");
  if (Original.is_number()) {
    for (const json &Value : {json(-1e18), json(1e18), json("7")}) {
      Document[At] = Value;
      expectRefused(
          Document, Parse, Path,
          "is .*; must be ((an integer|a number) from \\S+ to \\S+|one "
          "of [0-9, ]+) [a-z]+");
    }
    Document[At] = UINT64_MAX;
    expectRefused(Document, Parse, Path, "is 18446744073709551615; must be");
  } else if (Original.is_string()) {
    Document[At] = "no/such value";
    expectRefused(Document, Parse, Path, "is \"no/such value\"; must be \\S+");
  }
}

static void breakObject(json Document, const json::json_pointer &At,
                        const ParseDocument &Parse) {
  std::string Path = dotted((At / "bogus").to_string());
  json Changed = Document;
  Changed[At]["bogus"] = 1;
  // Objects with names of kinds as properties take any name of a kind.
  expectRefused(Changed, Parse, Path, "is not (a known property|the name)");
  for (const auto &[Name, Value] : Document[At].items()) {
    Changed = Document;
    Changed[At].erase(Name);
    // A value that may be left out has a default.
    if (!Parse(Changed.dump()).ok())
      expectRefused(Changed, Parse, dotted((At / Name).to_string()),
                    "is missing; must be \\S+");
  }
}

static void breakAll(const json &Document, const json::json_pointer &At,
                     const ParseDocument &Parse) {
  const json &Value = Document[At];
  if (!Value.is_structured()) {
    breakScalar(Document, At, Parse);
    return;
  }
  if (Value.is_object())
    breakObject(Document, At, Parse);
  for (const auto &[Name, Part] : Value.items())
    breakAll(Document, Value.is_array() ? At / std::stoul(Name) : At / Name,
             Parse);
}

void expectEveryFaultRefused(const std::string &Sample,
                             const ParseDocument &Parse) {
  ASSERT_TRUE(Parse(Sample).ok()) << Parse(Sample);
  breakAll(json::parse(Sample), json::json_pointer(), Parse);
}

} // namespace vanillayard
