#include "base/ErrorKind.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against a row of the table in the wrong place: a caller would get the
// response of another error.
TEST(ErrorKindTest, TableIsInOrderOfTheEnum) {
  int Index = 0;
  for (const ErrorKindInfo &Info : errorKindTable()) {
    EXPECT_EQ(static_cast<int>(Info.Kind), Index++) << Info.Name;
    EXPECT_EQ(parseErrorKind(Info.Name), Info.Kind);
  }
}

// Guards against losing the kind or the retry hint on the way through
// absl::Status.
TEST(ErrorKindTest, StatusCarriesKindAndRetryHint) {
  absl::Status Status =
      makeError(ErrorKind::QueueFull, "full", absl::Milliseconds(1500));
  EXPECT_EQ(errorKindOf(Status), ErrorKind::QueueFull);
  EXPECT_EQ(retryAfterOf(Status), absl::Milliseconds(1500));
  EXPECT_TRUE(isProvablyNotRun(Status));
}

// Guards against reporting "not run" for an error that makeError() did not
// make.
TEST(ErrorKindTest, ForeignStatusMayHaveRun) {
  EXPECT_FALSE(isProvablyNotRun(absl::InternalError("boom")));
  EXPECT_FALSE(isProvablyNotRun(absl::OkStatus()));
}
