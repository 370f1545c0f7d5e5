#include "base/ErrorKind.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against a row in the wrong place: a caller would get the answer of
// another error.
TEST(ErrorKindTest, TableIsInOrderOfTheEnum) {
  int Index = 0;
  for (const ErrorAnswer &Answer : errorKindTable()) {
    EXPECT_EQ(static_cast<int>(Answer.Kind), Index++) << Answer.Name;
    EXPECT_EQ(parseErrorKind(Answer.Name), Answer.Kind);
  }
}

TEST(ErrorKindTest, StatusCarriesKindAndRetryHint) {
  absl::Status Status =
      makeError(ErrorKind::QueueFull, "full", absl::Milliseconds(1500));
  EXPECT_EQ(errorKindOf(Status), ErrorKind::QueueFull);
  EXPECT_EQ(retryAfterOf(Status), absl::Milliseconds(1500));
  EXPECT_TRUE(isProvablyNotRun(Status));
}

// Guards against telling a caller "not run" on an error of unknown origin.
TEST(ErrorKindTest, ForeignStatusMayHaveRun) {
  EXPECT_FALSE(isProvablyNotRun(absl::InternalError("boom")));
  EXPECT_FALSE(isProvablyNotRun(absl::OkStatus()));
}
