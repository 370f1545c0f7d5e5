#include "policy/AdmissionQueue.h"

#include "base/ErrorKind.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace vanillayard;

static const absl::Time Start = absl::FromUnixSeconds(1000000);

static QueueItem makeItem(const std::string &Kind, const std::string &Account,
                          const std::string &Caller, uint64_t Token = 0,
                          absl::Time Deadline = absl::InfiniteFuture()) {
  return {KindOfWorkId(Kind),
          ClientAccountId(Account),
          CallerId(Caller),
          Deadline,
          Token,
          1};
}

static QueueSettings permissiveSettings() {
  QueueSettings Settings;
  Settings.MaxQueued = 1000000;
  Settings.RefuseEarly = false;
  return Settings;
}

/// Reference model: the tokens of every caller in order, and their deadlines.
struct QueueModel {
  using Owner = std::tuple<std::string, std::string, std::string>;
  struct WaitingItem {
    Owner ItemOwner;
    AdmissionQueue::Handle Handle;
    absl::Time Deadline;
  };
  std::map<uint64_t, WaitingItem> Items;
  std::map<Owner, std::deque<uint64_t>> TokensByOwner;
  std::vector<AdmissionQueue::Handle> EndedHandles;

  void add(uint64_t Token, const WaitingItem &W) {
    this->Items[Token] = W;
    this->TokensByOwner[W.ItemOwner].push_back(Token);
  }
  void remove(uint64_t Token) {
    std::deque<uint64_t> &Tokens =
        this->TokensByOwner[this->Items.at(Token).ItemOwner];
    this->EndedHandles.push_back(this->Items.at(Token).Handle);
    Tokens.erase(std::find(Tokens.begin(), Tokens.end(), Token));
    this->Items.erase(Token);
  }
};

static void checkPopped(QueueModel &Model, QueueOrder Order,
                        const AdmissionQueue::PoppedItem &Popped,
                        absl::Time Now) {
  RC_ASSERT(Model.Items.count(Popped.Token) == 1u);
  const QueueModel::WaitingItem &W = Model.Items.at(Popped.Token);
  RC_ASSERT(Popped.Expired == (W.Deadline <= Now));
  RC_ASSERT(Model.TokensByOwner[W.ItemOwner].front() == Popped.Token);
  if (Order == QueueOrder::Fifo)
    RC_ASSERT(Model.Items.begin()->first == Popped.Token);
  Model.remove(Popped.Token);
}

static void applyRandomAction(AdmissionQueue &Queue, QueueModel &Model,
                              QueueOrder Order, uint64_t Token,
                              absl::Time Now) {
  int Action = *rc::gen::inRange(0, 10);
  if (Action < 5) {
    QueueModel::Owner Owner = {
        std::string(1, *rc::gen::element('k', 'l')),
        std::string(1, *rc::gen::element('a', 'b', 'c')),
        std::string(1, *rc::gen::element('x', 'y', 'z'))};
    absl::Time Deadline = Now + absl::Milliseconds(*rc::gen::element(
                                    -10, 40, 300, 2000, 60000, 200000));
    auto Handle = Queue.push(makeItem(std::get<0>(Owner), std::get<1>(Owner),
                                      std::get<2>(Owner), Token, Deadline),
                             Now);
    RC_ASSERT(Handle.ok());
    Model.add(Token, {Owner, *Handle, Deadline});
  } else if (Action < 7) {
    auto Popped = Queue.pop(Now, false);
    RC_ASSERT(Popped.has_value() == !Model.Items.empty());
    if (Popped)
      checkPopped(Model, Order, *Popped, Now);
  } else if (Action < 9 && !Model.Items.empty()) {
    auto Chosen = std::next(
        Model.Items.begin(),
        *rc::gen::inRange<int>(0, static_cast<int>(Model.Items.size())));
    AdmissionQueue::Handle Handle = Chosen->second.Handle;
    RC_ASSERT(Queue.cancel(Handle));
    RC_ASSERT(!Queue.cancel(Handle));
    Model.remove(Chosen->first);
  } else {
    while (auto Expired = Queue.popExpired(Now)) {
      RC_ASSERT(Model.Items.at(*Expired).Deadline <= Now);
      Model.remove(*Expired);
    }
    for (const auto &[Left, W] : Model.Items)
      RC_ASSERT(W.Deadline > Now - absl::Milliseconds(50));
  }
  if (!Model.EndedHandles.empty())
    RC_ASSERT(!Queue.cancel(*rc::gen::elementOf(Model.EndedHandles)));
  RC_ASSERT(Queue.size() == Model.Items.size());
}

// Compares the queue with the model after random actions. Guards against lost,
// duplicated or reordered items, reused handles, and items that expire too
// early or not at all.
static void fuzzAgainstModel(QueueOrder Order) {
  auto Queue = AdmissionQueue::create(Order, permissiveSettings());
  QueueModel Model;
  absl::Time Now = Start;
  int Steps = *rc::gen::inRange(0, 300);
  for (int I = 0; I < Steps; ++I) {
    Now += absl::Milliseconds(*rc::gen::element(0, 0, 1, 30, 700, 90000));
    applyRandomAction(*Queue, Model, Order, static_cast<uint64_t>(I), Now);
  }
}

RC_GTEST_PROP(AdmissionQueueTest, FairQueueFollowsModel, ()) {
  fuzzAgainstModel(QueueOrder::WeightedFair);
}

RC_GTEST_PROP(AdmissionQueueTest, FifoQueueFollowsModel, ()) {
  fuzzAgainstModel(QueueOrder::Fifo);
}

// Guards against a kind that takes the share of others by a flood of requests:
// while every kind has a backlog, each is served by its weight, whatever the
// size of its backlog.
RC_GTEST_PROP(AdmissionQueueTest, SharesFollowWeights, ()) {
  QueueSettings Settings = permissiveSettings();
  std::map<std::string, double> Weights;
  for (const char *Kind : {"k", "l", "m"})
    Weights[Kind] = Settings.Kinds[KindOfWorkId(Kind)].Weight =
        *rc::gen::inRange(1, 10);
  auto Queue = AdmissionQueue::create(QueueOrder::WeightedFair, Settings);
  double Sum = 0;
  for (const auto &[Kind, Weight] : Weights) {
    Sum += Weight;
    int Flood = *rc::gen::inRange(1, 10);
    for (int I = 0; I < 300 * Flood; ++I)
      RC_ASSERT(
          Queue->push(makeItem(Kind, I % 2 ? "a" : "b", "x"), Start).ok());
  }
  std::map<std::string, size_t> Before, Served;
  for (const auto &[Kind, Weight] : Weights)
    Before[Kind] = Queue->size(KindOfWorkId(Kind));
  static constexpr int Pops = 300;
  for (int I = 0; I < Pops; ++I)
    RC_ASSERT(Queue->pop(Start, false).has_value());
  for (const auto &[Kind, Weight] : Weights) {
    double Share = Pops * Weight / Sum;
    double Got = Before[Kind] - Queue->size(KindOfWorkId(Kind));
    RC_ASSERT(Got >= Share - 2);
    RC_ASSERT(Got <= Share + 2 * Weight + 2);
  }
}

// Guards against a caller with a large backlog that delays other callers of its
// account, and against an account that gains extra service by being idle at
// times.
TEST(AdmissionQueueTest, SmallCallersAreServedInTurn) {
  auto Queue =
      AdmissionQueue::create(QueueOrder::WeightedFair, permissiveSettings());
  for (int I = 0; I < 5000; ++I)
    ASSERT_TRUE(Queue->push(makeItem("k", "a", "large", 1), Start).ok());
  ASSERT_TRUE(Queue->push(makeItem("k", "a", "small", 2), Start).ok());
  std::set<uint64_t> First;
  for (int I = 0; I < 2; ++I)
    First.insert(Queue->pop(Start, false)->Token);
  EXPECT_EQ(First.count(2), 1u);

  int Served = 0;
  for (int I = 0; I < 100; ++I) {
    if (Queue->size() < 5000 + 1)
      (void)Queue->push(makeItem("k", "b", "closed-loop", 3), Start);
    Served += Queue->pop(Start, false)->Token == 3;
  }
  EXPECT_NEAR(Served, 50, 2);
}

// Guards against a kind or caller that fills the queue, so that the requests of
// other kinds and callers are refused.
TEST(AdmissionQueueTest, FloodLeavesRoomForOthers) {
  QueueSettings Settings = permissiveSettings();
  Settings.MaxQueued = 1000;
  Settings.Accounts[ClientAccountId("a")].MaxQueued = 400;
  auto Queue = AdmissionQueue::create(QueueOrder::WeightedFair, Settings);
  absl::Status Refused;
  for (int I = 0; I < 2000; ++I)
    Refused.Update(Queue->push(makeItem("k", "a", "large"), Start).status());
  EXPECT_EQ(errorKindOf(Refused), ErrorKind::QueueFull);
  EXPECT_EQ(Queue->size(), 200u);
  for (int I = 0; I < 2000; ++I)
    (void)Queue->push(makeItem("k", "b" + std::to_string(I % 50), "x"), Start);
  EXPECT_EQ(Queue->size(), 500u);
  EXPECT_TRUE(Queue->push(makeItem("l", "a", "small"), Start).ok());
}

// Guards against other work in the slots that are reserved for urgent kinds,
// and against deferrable work that the preset does not admit.
TEST(AdmissionQueueTest, UrgentReserveAndPresetAreRespected) {
  QueueSettings Settings = permissiveSettings();
  Settings.Kinds[KindOfWorkId("urgent")].Urgent = true;
  Settings.Kinds[KindOfWorkId("later")].Deferrable = true;
  auto Queue = AdmissionQueue::create(QueueOrder::WeightedFair, Settings);
  ASSERT_TRUE(Queue->push(makeItem("later", "a", "x", 1), Start).ok());
  EXPECT_FALSE(Queue->pop(Start, true).has_value());
  ASSERT_TRUE(Queue->push(makeItem("urgent", "a", "x", 2), Start).ok());
  EXPECT_EQ(Queue->pop(Start, true)->Token, 2u);
  Settings.AdmitDeferrable = false;
  Queue->configure(Settings);
  EXPECT_EQ(
      errorKindOf(Queue->push(makeItem("later", "a", "x"), Start).status()),
      ErrorKind::NoCapacity);
  EXPECT_EQ(Queue->pop(Start, false)->Token, 1u);
}

// Guards against refusals after an idle period, and against a retry time after
// which the request would be refused again.
TEST(AdmissionQueueTest, RefusesWhatCannotBeServedInTime) {
  QueueSettings Settings = permissiveSettings();
  Settings.RefuseEarly = true;
  for (QueueOrder Order : {QueueOrder::WeightedFair, QueueOrder::Fifo}) {
    auto Queue = AdmissionQueue::create(Order, Settings);
    absl::Time Now = Start;
    for (int I = 0; I < 10; ++I, Now += absl::Seconds(30)) {
      ASSERT_TRUE(
          Queue->push(makeItem("k", "a", "x", 0, Now + absl::Seconds(1)), Now)
              .ok());
      ASSERT_TRUE(Queue->pop(Now, false).has_value());
    }
    absl::Status Refused;
    // Every 10 ms one item is served and two arrive.
    for (int I = 0; I < 2000 && Refused.ok();
         ++I, Now += absl::Milliseconds(5)) {
      Refused =
          Queue->push(makeItem("k", "a", "x", 0, Now + absl::Seconds(1)), Now)
              .status();
      if (I % 2 == 0) {
        ASSERT_TRUE(Queue->pop(Now, false).has_value());
      }
    }
    EXPECT_EQ(errorKindOf(Refused), ErrorKind::DeadlineUnreachable);
    EXPECT_NEAR(Queue->size(), 100, 15);
    absl::Duration Hint = retryAfterOf(Refused);
    ASSERT_GT(Hint, absl::ZeroDuration());
    for (absl::Time End = Now + Hint; Now < End; Now += absl::Milliseconds(10))
      ASSERT_TRUE(Queue->pop(Now, false).has_value());
    EXPECT_TRUE(
        Queue->push(makeItem("k", "a", "x", 0, Now + absl::Seconds(1)), Now)
            .ok());
  }
}
