#include "base/JsonText.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <string>

using namespace vanillayard;

static std::string nested(int Depth) {
  return std::string(static_cast<size_t>(Depth), '[') +
         std::string(static_cast<size_t>(Depth), ']');
}

TEST(JsonTextTest, DepthIsBounded) {
  EXPECT_FALSE(parseUntrustedJson(nested(MaxJsonDepth)).is_discarded());
  EXPECT_TRUE(parseUntrustedJson(nested(MaxJsonDepth + 1)).is_discarded());
}

// Guards against a crash by recursion, and against a text of 1 MiB that takes
// most of a host's memory.
TEST(JsonTextTest, VeryDeepTextIsRefused) {
  constexpr int Depth = 500000;
  EXPECT_TRUE(parseUntrustedJson(nested(Depth)).is_discarded());
  EXPECT_TRUE(parseUntrustedJson(R"({"a":)" + nested(Depth) + R"(,"b":1})")
                  .is_discarded());
}

TEST(JsonTextTest, BracketsInStringsDoNotCount) {
  std::string Text = "{\"a\":\"" + std::string(100, '[') + "\\\"[[\"}";
  EXPECT_TRUE(parseUntrustedJson(Text).is_object());
}

// Brackets and escapes inside of strings must not change the depth.
RC_GTEST_PROP(JsonTextTest, DepthOfAnyDocumentIsFound, ()) {
  auto Content = *rc::gen::container<std::string>(
      rc::gen::element('[', ']', '{', '}', '"', '\\', 'a', '\n'));
  nlohmann::json Document = Content;
  int Depth = *rc::gen::inRange(1, MaxJsonDepth);
  for (int I = 0; I < Depth; ++I)
    Document = *rc::gen::arbitrary<bool>()
                   ? nlohmann::json::array({Content, Document})
                   : nlohmann::json({{Content, Document}});
  std::string Text = Document.dump();
  RC_ASSERT(nestsDeeperThan(Text, Depth - 1));
  RC_ASSERT(!nestsDeeperThan(Text, Depth));
  RC_ASSERT(parseUntrustedJson(Text) == Document);
}
