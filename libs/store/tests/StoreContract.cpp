#include "StoreContract.h"

#include "base/ErrorKind.h"

#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <utility>

using namespace vanillayard;

// Waits for the result of one call. Checks that the callback runs once, and not
// before the call returns.
template <typename T, typename Call>
static absl::StatusOr<T> await(StoreEnvironment &Env, Call Start) {
  auto Answer = std::make_shared<std::optional<absl::StatusOr<T>>>();
  Start([Answer](absl::StatusOr<T> Result) {
    EXPECT_FALSE(Answer->has_value()) << "a callback ran twice";
    *Answer = std::move(Result);
  });
  EXPECT_FALSE(Answer->has_value())
      << "a callback ran before the call returned";
  if (!Env.waitFor([&] { return Answer->has_value(); }))
    return absl::InternalError("no answer");
  return **Answer;
}

absl::StatusOr<RangeResult> StoreContractTest::get(const std::string &Key) {
  return await<RangeResult>(*this->Env, [&](Store::RangeCallback Done) {
    this->Env->store().get(Key, std::move(Done));
  });
}

absl::StatusOr<RangeResult> StoreContractTest::list(const std::string &Prefix) {
  return await<RangeResult>(*this->Env, [&](Store::RangeCallback Done) {
    this->Env->store().list(Prefix, std::move(Done));
  });
}

absl::StatusOr<std::vector<WriteResult>>
StoreContractTest::write(std::vector<ConditionalWrite> Writes) {
  return await<std::vector<WriteResult>>(
      *this->Env, [&](Store::WriteCallback Done) {
        this->Env->store().write(std::move(Writes), std::move(Done));
      });
}

namespace {

struct Step {
  int Key = 0;
  bool ExpectCurrent = true;
  bool Delete = false;
};

} // namespace

static rc::Gen<Step> stepGen() {
  return rc::gen::apply(
      [](int Key, int Expect, int Delete) {
        return Step{Key, Expect != 0, Delete == 0};
      },
      rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 5));
}

// Guards against a lost or wrongly applied compare-and-swap, against one
// rejected write that blocks the rest of its batch, and against a watch that
// misses changes or reports them out of order.
TEST_P(StoreContractTest, BatchesAndWatchMatchAModel) {
  // Bytes that the JSON and base64 encoding must preserve.
  const std::string SpecialBytes("\0\xff\"\n\xc3", 5);
  int Cases = 0;
  EXPECT_TRUE(rc::check([&] {
    const std::string Prefix = "/t" + std::to_string(++Cases) + "/";
    std::map<std::string, StoredValue> Model;
    std::map<std::string, StoredValue> Watched;
    auto Watch = this->Env->store().watch(
        Prefix, 1,
        [&](const std::vector<WatchEvent> &Events) {
          for (const WatchEvent &Event : Events) {
            RC_ASSERT(Event.Value.ModRevision >=
                      Watched[Event.Value.Key].ModRevision);
            if (Event.Deleted)
              Watched.erase(Event.Value.Key);
            else
              Watched[Event.Value.Key] = Event.Value;
          }
        },
        [](const absl::Status &) {});
    int Number = 0;
    for (const auto &Steps :
         *rc::gen::container<std::vector<std::vector<Step>>>(
             rc::gen::container<std::vector<Step>>(stepGen()))) {
      std::vector<ConditionalWrite> Writes;
      std::map<std::string, bool> Used;
      for (const Step &S : Steps) {
        std::string Key = Prefix + std::to_string(S.Key);
        if (std::exchange(Used[Key], true))
          continue;
        int64_t Current = Model.count(Key) ? Model[Key].ModRevision : 0;
        Writes.push_back({Key, S.ExpectCurrent ? Current : Current + 1000,
                          SpecialBytes + std::to_string(++Number), S.Delete});
      }
      auto Results = this->write(Writes);
      RC_ASSERT(Results.ok());
      RC_ASSERT(Results->size() == Writes.size());
      for (size_t I = 0; I < Writes.size(); ++I) {
        const ConditionalWrite &Write = Writes[I];
        const WriteResult &Result = (*Results)[I];
        auto Found = Model.find(Write.Key);
        bool Exists = Found != Model.end();
        int64_t Current = Exists ? Found->second.ModRevision : 0;
        RC_ASSERT(Result.Applied == (Write.ExpectedModRevision == Current));
        if (!Result.Applied) {
          RC_ASSERT(Result.ModRevision == Current);
          RC_ASSERT(Result.FoundValue == (Exists ? Found->second.Value : ""));
        } else if (Write.Delete) {
          Model.erase(Write.Key);
        } else {
          RC_ASSERT(Result.ModRevision > Current);
          Model[Write.Key] = {Write.Key, Write.Value, Result.ModRevision};
        }
      }
    }
    auto IsSame = [&](const std::map<std::string, StoredValue> &Seen) {
      return std::equal(Seen.begin(), Seen.end(), Model.begin(), Model.end(),
                        [](const auto &A, const auto &B) {
                          return A.second.Key == B.second.Key &&
                                 A.second.Value == B.second.Value &&
                                 A.second.ModRevision == B.second.ModRevision;
                        });
    };
    auto Listed = this->list(Prefix);
    RC_ASSERT(Listed.ok());
    std::map<std::string, StoredValue> Seen;
    for (const StoredValue &Value : Listed->Values)
      Seen[Value.Key] = Value;
    RC_ASSERT(IsSame(Seen));
    RC_ASSERT(this->Env->waitFor([&] { return IsSame(Watched); }));
  }));
}

// Guards against a get() that also returns keys which start with its key.
TEST_P(StoreContractTest, GetReadsOneKey) {
  ASSERT_TRUE(this->write({{"/a/b", 0, "long", false}}).ok());
  auto Missing = this->get("/a");
  ASSERT_TRUE(Missing.ok()) << Missing.status();
  EXPECT_TRUE(Missing->Values.empty());
  EXPECT_GT(Missing->Revision, 0);
  auto Found = this->get("/a/b");
  ASSERT_TRUE(Found.ok()) << Found.status();
  ASSERT_EQ(Found->Values.size(), 1u);
  EXPECT_EQ(Found->Values[0].Value, "long");
}

// Guards against a getChanged() that omits a changed value, which would leave
// an old configuration in force.
TEST_P(StoreContractTest, GetChangedOmitsAnUnchangedValue) {
  auto Changed = [&](int64_t Since) {
    return await<RangeResult>(*this->Env, [&](Store::RangeCallback Done) {
      this->Env->store().getChanged("/c", Since, std::move(Done));
    });
  };
  auto First = this->write({{"/c", 0, "1", false}});
  ASSERT_TRUE(First.ok());
  int64_t Known = (*First)[0].ModRevision;
  ASSERT_TRUE(this->write({{"/other", 0, "x", false}}).ok());
  auto Same = Changed(Known);
  ASSERT_TRUE(Same.ok()) << Same.status();
  EXPECT_TRUE(Same->Values.empty());
  EXPECT_GT(Same->Revision, Known);
  EXPECT_EQ(Changed(Known - 1)->Values.size(), 1u);
  ASSERT_TRUE(this->write({{"/c", Known, "2", false}}).ok());
  auto New = Changed(Known);
  ASSERT_EQ(New->Values.size(), 1u);
  EXPECT_EQ(New->Values[0].Value, "2");
}

// Guards against losing a change made between a read and the watch that
// follows.
TEST_P(StoreContractTest, WatchStartsAtTheRequestedRevision) {
  auto First = this->write({{"/w/1", 0, "old", false}});
  ASSERT_TRUE(First.ok());
  auto Read = this->list("/w/");
  ASSERT_TRUE(Read.ok());
  ASSERT_TRUE(this->write({{"/w/2", 0, "between", false}}).ok());
  std::vector<std::string> Keys;
  auto Watch = this->Env->store().watch(
      "/w/", Read->Revision + 1,
      [&](const std::vector<WatchEvent> &Events) {
        for (const WatchEvent &Event : Events)
          Keys.push_back(Event.Value.Key);
      },
      [](const absl::Status &) {});
  EXPECT_TRUE(this->Env->waitFor([&] { return !Keys.empty(); }));
  ASSERT_TRUE(this->write({{"/w/3", 0, "after", false}}).ok());
  EXPECT_TRUE(this->Env->waitFor([&] { return Keys.size() == 2; }));
  EXPECT_EQ(Keys, (std::vector<std::string>{"/w/2", "/w/3"}));
}

// Guards against the assumption that a write whose answer is lost has no
// effect: the call fails, but the key holds the new value.
TEST_P(StoreContractTest, WriteTakesEffectThoughItsAnswerIsLost) {
  this->Env->loseNextAnswer();
  auto Lost = this->write({{"/l", 0, "kept", false}});
  ASSERT_FALSE(Lost.ok());
  EXPECT_EQ(errorKindOf(Lost.status()), ErrorKind::PlatformUnavailable);
  auto Found = this->get("/l");
  ASSERT_TRUE(Found.ok()) << Found.status();
  ASSERT_EQ(Found->Values.size(), 1u);
  EXPECT_EQ(Found->Values[0].Value, "kept");
}

// Guards against a caller that waits forever, and against an error of another
// kind, while the service is down.
TEST_P(StoreContractTest, OutageIsPlatformUnavailable) {
  bool Ended = false;
  auto Watch = this->Env->store().watch(
      "/d", 0, [](const std::vector<WatchEvent> &) {},
      [&](const absl::Status &Status) {
        Ended = true;
        EXPECT_EQ(errorKindOf(Status), ErrorKind::PlatformUnavailable);
      });
  ASSERT_TRUE(this->get("/d").ok());
  this->Env->setDown(true);
  EXPECT_TRUE(this->Env->waitFor([&] { return Ended; }));
  auto Read = this->get("/d");
  ASSERT_FALSE(Read.ok());
  EXPECT_EQ(errorKindOf(Read.status()), ErrorKind::PlatformUnavailable);
  auto Written = this->write({{"/d", 0, "x", false}});
  ASSERT_FALSE(Written.ok());
  EXPECT_EQ(errorKindOf(Written.status()), ErrorKind::PlatformUnavailable);
  this->Env->setDown(false);
  auto Again = this->get("/d");
  ASSERT_TRUE(Again.ok()) << Again.status();
  EXPECT_TRUE(Again->Values.empty());
}

// Guards against a callback into a destroyed owner, when a change or the end of
// the watch is about to be reported.
TEST_P(StoreContractTest, DestroyedWatchRunsNoCallback) {
  int Calls = 0;
  auto Watch = this->Env->store().watch(
      "/s", 0, [&](const std::vector<WatchEvent> &) { ++Calls; },
      [&](const absl::Status &) { ++Calls; });
  ASSERT_TRUE(this->get("/s").ok());
  ASSERT_TRUE(this->write({{"/s", 0, "x", false}}).ok());
  this->Env->breakWatches();
  Watch.reset();
  int CallsBefore = Calls;
  ASSERT_TRUE(this->get("/s").ok());
  EXPECT_EQ(Calls, CallsBefore);
}

// Guards against a watch that ends without telling its owner, and against one
// that reports its end twice.
TEST_P(StoreContractTest, BrokenWatchEndsOnceAndCanBeOpenedAgain) {
  int Ends = 0;
  int Changes = 0;
  auto Changed = [&](const std::vector<WatchEvent> &) { ++Changes; };
  auto Ended = [&](const absl::Status &) { ++Ends; };
  auto Watch = this->Env->store().watch("/b", 0, Changed, Ended);
  ASSERT_TRUE(this->get("/b").ok());
  this->Env->breakWatches();
  EXPECT_TRUE(this->Env->waitFor([&] { return Ends == 1; }));
  auto Written = this->write({{"/b", 0, "x", false}});
  ASSERT_TRUE(Written.ok());
  EXPECT_EQ(Changes, 0);
  Watch =
      this->Env->store().watch("/b", (*Written)[0].ModRevision, Changed, Ended);
  EXPECT_TRUE(this->Env->waitFor([&] { return Changes == 1; }));
  EXPECT_EQ(Ends, 1);
}
