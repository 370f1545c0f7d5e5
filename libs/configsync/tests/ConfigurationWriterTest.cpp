#include "configsync/ConfigurationWriter.h"

#include "SampleConfiguration.h"

#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"
#include "configsync/ConfigurationTask.h"
#include "store/testing/FakeStore.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

class ConfigurationWriterTest : public testing::Test {
protected:
  ConfigurationWriter::StoredConfiguration read() {
    absl::StatusOr<ConfigurationWriter::StoredConfiguration> Answer =
        absl::UnknownError("none");
    this->Writer.read([&](auto Result) { Answer = std::move(Result); });
    this->Exec.advance(absl::Seconds(11));
    EXPECT_TRUE(Answer.ok()) << Answer.status();
    return Answer.ok() ? *Answer : ConfigurationWriter::StoredConfiguration();
  }
  absl::StatusOr<Configuration>
  apply(const std::string &Preset,
        const ConfigurationWriter::StoredConfiguration &Base) {
    absl::StatusOr<Configuration> Answer = absl::UnknownError("none");
    this->Writer.apply(sampleConfiguration(1, Preset), Base,
                       [&](auto Result) { Answer = std::move(Result); });
    this->Exec.advance(absl::Seconds(20));
    return Answer;
  }
  std::string stored() {
    auto Found = this->Store.data().read(ConfigurationTask::Key);
    return Found ? Found->Value : "";
  }

  VirtualExecutor Exec;
  FakeStore Store{Exec};
  ConfigurationWriter Writer{Exec, Store, absl::Seconds(10)};
};

} // namespace

// Guards against a generation that does not increase by 1 with each change.
TEST_F(ConfigurationWriterTest,
       FirstWriteKeepsTheGenerationAndTheNextIncrementsIt) {
  auto First = this->apply("ordinary", this->read());
  ASSERT_TRUE(First.ok()) << First.status();
  EXPECT_EQ(First->Generation, 1);
  auto Second = this->apply("peak", this->read());
  ASSERT_TRUE(Second.ok()) << Second.status();
  EXPECT_EQ(Second->Generation, 2);
  EXPECT_EQ(this->stored(), sampleDocument(2, "peak"));
}

// Guards against an operator who overwrites a change that another operator made
// after the read.
TEST_F(ConfigurationWriterTest, LostRaceOverwritesNothing) {
  ASSERT_TRUE(this->apply("ordinary", {}).ok());
  auto Base = this->read();
  this->Store.data().put(ConfigurationTask::Key,
                         sampleDocument(2, "maintenance"));
  auto Result = this->apply("peak", Base);
  EXPECT_EQ(errorKindOf(Result.status()), ErrorKind::Conflict);
  EXPECT_EQ(this->stored(), sampleDocument(2, "maintenance"));
}

// Guards against a conflict with one's own change: a write takes effect and
// its answer is lost, so the retry finds the new revision.
TEST_F(ConfigurationWriterTest, RetryAfterALostAnswerSucceeds) {
  this->Store.loseAnswers(3);
  auto Result = this->apply("peak", {});
  ASSERT_TRUE(Result.ok()) << Result.status();
  EXPECT_EQ(this->stored(), sampleDocument(1, "peak"));
}

// Guards against reporting that nothing was written while the write may still
// take effect.
TEST_F(ConfigurationWriterTest, NoAnswerIsAnUnknownOutcome) {
  this->Store.setLatency(absl::Seconds(60));
  auto Result = this->apply("peak", {});
  EXPECT_EQ(errorKindOf(Result.status()), ErrorKind::OutcomeUnknown);
  this->Exec.advance(absl::Seconds(60));
  EXPECT_EQ(this->stored(), sampleDocument(1, "peak"));
}

// Guards against storing a configuration whose preset in force does not exist.
TEST_F(ConfigurationWriterTest, InvalidConfigurationIsNotWritten) {
  auto Result = this->apply("holiday", {});
  EXPECT_EQ(errorKindOf(Result.status()), ErrorKind::InvalidRequest);
  EXPECT_EQ(this->stored(), "");
}
