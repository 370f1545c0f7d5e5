#include "wire/WireCodec.h"

#include "base/ErrorKind.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <string>
#include <vector>

using namespace vanillayard;

template <typename Id> static Id anyId() {
  return Id("x" + *rc::gen::arbitrary<std::string>());
}

static int64_t anyCount() {
  return *rc::gen::arbitrary<int64_t>() & INT64_MAX;
}

static int anyInt32() {
  return *rc::gen::inRange(0, INT32_MAX);
}

static bool anyBool() {
  return *rc::gen::arbitrary<bool>();
}

template <typename T, typename Make> static std::vector<T> anyList(Make Next) {
  std::vector<T> List;
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    List.push_back(Next());
  return List;
}

static LoadSummary anyLoad() {
  return {anyCount(),
          anyCount(),
          anyCount(),
          anyCount(),
          anyCount(),
          anyCount(),
          absl::Milliseconds(anyInt32()),
          anyCount()};
}

// Guards against undefined behaviour when the loads of faulty hosts are added.
TEST(LoadSummaryTest, SumsEndAtTheLargestNumber) {
  LoadSummary Sum;
  Sum.FreeSlots = std::numeric_limits<int64_t>::max() - 1;
  Sum.QueuedUrgent = 3;
  LoadSummary Other = Sum;
  Sum.add(Other);
  EXPECT_EQ(Sum.FreeSlots, std::numeric_limits<int64_t>::max());
  EXPECT_EQ(Sum.QueuedUrgent, 6);
}

static WorkerView anyView() {
  return {anyId<WorkerId>(), anyId<Endpoint>(), anyId<RackId>(), anyInt32(),
          anyInt32(),        anyBool(),         anyBool(),       anyInt32(),
          anyCount(),        anyBool(),         anyBool()};
}

static HostDigest anyHostDigest() {
  return {anyId<HostId>(), anyCount(), anyId<Endpoint>(), anyBool()};
}

static DataCentreDigest anyDigest() {
  return {anyId<DataCentreId>(), *rc::gen::arbitrary<int64_t>(),
          anyList<HostDigest>(anyHostDigest), absl::Milliseconds(anyInt32()),

          anyLoad()};
}

static Heartbeat anyHeartbeat() {
  return {anyCount(),
          anyBool() ? HostPhase::Live : HostPhase::Leaving,
          anyLoad(),
          anyBool(),
          anyList<WorkerView>(anyView),
          anyCount(),
          anyId<Endpoint>(),
          anyList<Endpoint>(anyId<Endpoint>),
          anyCount(),
          anyCount(),
          anyList<DataCentreDigest>(anyDigest),
          anyList<DataCentreId>(anyId<DataCentreId>),
          *rc::gen::arbitrary<std::vector<std::string>>()};
}

static PeerMessage anyMessage() {
  auto Text = *rc::gen::arbitrary<std::string>();
  switch (*rc::gen::inRange(0, 11)) {
  case 0:
    return anyHeartbeat();
  case 1:
    return ConfigRequest{anyCount()};
  case 2:
    return ConfigReply{anyCount(), Text};
  case 3:
    return ForwardRequest{anyId<RequestId>(),
                          anyId<ClientAccountId>(),
                          anyId<CallerId>(),
                          anyId<KindOfWorkId>(),
                          absl::Milliseconds(anyInt32()),
                          anyBool(),
                          Text,
                          *rc::gen::arbitrary<std::string>()};
  case 4:
    return ForwardReply{Text};
  case 5:
    return ForwardReply{
        makeError((*rc::gen::elementOf(std::vector<ErrorKindInfo>(
                       errorKindTable().begin(), errorKindTable().end())))
                      .Kind,
                  Text, absl::Milliseconds(anyInt32()))};
  case 6:
    return JobNotice{anyId<JobId>(), Text};
  case 7:
    return JobQuery{anyId<JobId>()};
  case 8:
    return JobReply{anyId<JobId>(), Text};
  case 9:
    return CancelNotice{anyId<JobId>()};
  default:
    return Leaving();
  }
}

static Envelope anyEnvelope() {
  return {anyId<HostId>(),
          anyCount(),
          anyId<DataCentreId>(),
          {anyCount(), anyCount()},
          *rc::gen::arbitrary<int64_t>(),
          anyMessage()};
}

// Guards against a field that encoding or decoding loses or swaps.
RC_GTEST_PROP(WireCodecTest, DecodeReversesEncode, ()) {
  Envelope Sent = anyEnvelope();
  auto Bytes = WireCodec::encode(Sent);
  RC_ASSERT(Bytes.ok());
  auto Received = WireCodec::decode(*Bytes);
  RC_ASSERT(Received.ok());
  RC_ASSERT(*Received == Sent);
}

// Guards against accepting a truncated message or one with extra bytes.
RC_GTEST_PROP(WireCodecTest, TruncatedAndExtendedMessagesAreErrors, ()) {
  std::string Bytes = *WireCodec::encode(anyEnvelope());
  RC_ASSERT(!WireCodec::decode(Bytes + '\0').ok());
  for (size_t Length = 0; Length < Bytes.size(); ++Length)
    RC_ASSERT(!WireCodec::decode(Bytes.substr(0, Length)).ok());
}

// Guards against a crash, an uncaught exception or a large allocation on bytes
// from a faulty peer. A message that decodes must encode again.
RC_GTEST_PROP(WireCodecTest, DamagedBytesDoNotCrash, ()) {
  std::string Bytes = *WireCodec::encode(anyEnvelope());
  for (int Round = 0; Round < 50; ++Round) {
    std::string Damaged = Bytes;
    for (int Flips = *rc::gen::inRange(1, 6); Flips > 0; --Flips)
      Damaged[*rc::gen::inRange<size_t>(0, Damaged.size())] =
          *rc::gen::arbitrary<char>();
    auto Message = WireCodec::decode(Damaged);
    if (Message.ok())
      RC_ASSERT(WireCodec::encode(*Message).ok());
  }
  auto Random = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(!WireCodec::decode(Random).ok());
}

// Guards against exhausting memory or the stack on a message over a limit.
TEST(WireCodecTest, MessagesOverALimitAreErrors) {
  Envelope Message{HostId("h"), 1, DataCentreId("d"), {1, 0}, 0, JobNotice()};
  Message.Message =
      JobNotice{JobId("j"), std::string(WireCodec::MaxMessageBytes, 'x')};
  EXPECT_FALSE(WireCodec::encode(Message).ok());
  EXPECT_FALSE(
      WireCodec::decode(std::string(WireCodec::MaxMessageBytes + 1, 0)).ok());
  // A list that declares two billion elements must not be allocated, and
  // structs nested in an unknown field must not exhaust the stack.
  std::string HugeList = "\xf9\x6e\xf8\xff\xff\xff\x7f";
  EXPECT_FALSE(WireCodec::decode(HugeList).ok());
  EXPECT_FALSE(WireCodec::decode(std::string(1 << 20, '\xfc')).ok());
  Message.Message = Heartbeat();
  std::get<Heartbeat>(Message.Message).KnownPeers.resize(5000);
  EXPECT_FALSE(WireCodec::decode(*WireCodec::encode(Message)).ok());
}

// Guards against passing a message without a sender, or with a negative count,
// to the membership task.
TEST(WireCodecTest, InvalidMessagesAreErrors) {
  Envelope Good{HostId("h"), 1, DataCentreId("d"), {1, 0}, 0, Heartbeat()};
  EXPECT_TRUE(WireCodec::decode(*WireCodec::encode(Good)).ok());
  Envelope NoSender = Good;
  NoSender.Sender = HostId();
  EXPECT_FALSE(WireCodec::decode(*WireCodec::encode(NoSender)).ok());
  Envelope Negative = Good;
  std::get<Heartbeat>(Negative.Message).Load.FreeSlots = -1;
  EXPECT_FALSE(WireCodec::decode(*WireCodec::encode(Negative)).ok());

  // Without its last field, the envelope holds no message. It must not decode
  // as Leaving, on which the receiver excludes the sender at once.
  Envelope Empty = Good;
  Empty.Message = Leaving();
  std::string Bytes = *WireCodec::encode(Empty);
  constexpr std::string_view LeavingField("\x0c\x32\0", 3);
  size_t Start = Bytes.size() - LeavingField.size() - 1;
  ASSERT_EQ(Bytes.substr(Start, LeavingField.size()), LeavingField);
  EXPECT_FALSE(WireCodec::decode(Bytes.erase(Start, LeavingField.size())).ok());
}
