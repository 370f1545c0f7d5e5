#include "ContractBackend.h"

#include "base/ErrorKind.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>

#include <optional>

using namespace vanillayard;

static const Epoch Lower{1, HostId("a")};
static const Epoch Higher{2, HostId("a")};
static constexpr absl::Duration LongWait = absl::Seconds(30);

/// Runs the same tests on the fake and on the HTTP adapter, so that tests that
/// use the fake also hold for the HTTP protocol.
template <typename Backend> class WorkerClientContract : public testing::Test {
protected:
  Backend Back;

  template <typename T>
  absl::StatusOr<T>
  await(const std::function<void(WorkerClient::Callback<T>)> &Call) {
    auto Result = std::make_shared<std::optional<absl::StatusOr<T>>>();
    Call([Result](absl::StatusOr<T> Answer) {
      EXPECT_FALSE(*Result) << "the callback ran twice";
      *Result = std::move(Answer);
    });
    EXPECT_FALSE(*Result) << "the callback ran before the call returned";
    if (!this->Back.waitUntil([&] { return Result->has_value(); }))
      return absl::DeadlineExceededError("the callback did not run");
    return **Result;
  }

  static LeaseRequest request(const std::string &Id) {
    LeaseRequest Request;
    Request.Lease = LeaseId(Id);
    Request.Owner = "owner " + Id;
    Request.Account = ClientAccountId("glide");
    Request.Kind = KindOfWorkId("price-check");
    Request.Holder = Lower;
    return Request;
  }
  absl::StatusOr<LeaseReport> acquire(const LeaseRequest &Request) {
    return this->await<LeaseReport>([&](auto Done) {
      this->Back.client().acquire(this->Back.worker(), Request, Done);
    });
  }
  absl::StatusOr<LeaseReport> start(const std::string &Id, const Epoch &Holder,
                                    const std::string &Body) {
    return this->await<LeaseReport>([&](auto Done) {
      this->Back.client().start(this->Back.worker(), LeaseId(Id), Holder, Body,
                                Done);
    });
  }
  absl::StatusOr<TaskResult> run(const std::string &Id, const std::string &Body,
                                 absl::Duration Timeout = LongWait) {
    return this->await<TaskResult>([&](auto Done) {
      this->Back.client().run(this->Back.worker(), request(Id), Body, Timeout,
                              Done);
    });
  }
  absl::StatusOr<TaskResult> query(const std::string &Id) {
    return this->await<TaskResult>([&](auto Done) {
      this->Back.client().query(this->Back.worker(), LeaseId(Id), Done);
    });
  }
  absl::StatusOr<RevokeResult> revoke(const std::string &Id) {
    return this->await<RevokeResult>([&](auto Done) {
      this->Back.client().revoke(this->Back.worker(), LeaseId(Id), Done);
    });
  }
  absl::StatusOr<WorkerStatus> status() {
    return this->await<WorkerStatus>([&](auto Done) {
      this->Back.client().status(this->Back.worker(), Done);
    });
  }
  bool awaitState(const std::string &Id, LeaseState State) {
    return this->Back.waitUntil(
        [&] { return this->Back.model().query(LeaseId(Id)).State == State; });
  }
  size_t runs() { return this->Back.model().executions().size(); }
};

using Backends = testing::Types<FakeBackend, HttpBackend>;
TYPED_TEST_SUITE(WorkerClientContract, Backends);

// Guards against losing fields of a lease, against ids that are not escaped in
// paths and headers, and against a repeated call that runs the task twice.
TYPED_TEST(WorkerClientContract, LeaseFromAcquireToRelease) {
  std::string Body = TaskBody::make(absl::Milliseconds(5), "t", 5000);
  const std::string Id = "job/1 é%";
  LeaseRequest Request = this->request(Id);
  Request.Accelerators = {1, 3};
  Request.GangSize = 2;
  Request.Member = 1;
  Request.Reclaimable = true;
  auto Held = this->acquire(Request);
  ASSERT_TRUE(Held.ok()) << Held.status();
  EXPECT_EQ(Held->State, LeaseState::Held);
  EXPECT_EQ(Held->Accelerators, Request.Accelerators);
  EXPECT_TRUE(this->acquire(Request).ok()) << "acquiring is idempotent";
  auto Started = this->start(Id, Lower, Body);
  ASSERT_TRUE(Started.ok()) << Started.status();
  ASSERT_TRUE(this->awaitState(Id, LeaseState::Finished));
  EXPECT_EQ(this->start(Id, Lower, Body)->State, LeaseState::Finished);
  auto Result = this->query(Id);
  ASSERT_TRUE(Result.ok()) << Result.status();
  EXPECT_TRUE(TaskBody::isResultOf(Result->Body, Request.Owner, Body));
  EXPECT_EQ(Result->FreeSlots, 2);
  auto Released = this->template await<LeaseReport>([&](auto Done) {
    this->Back.client().release(this->Back.worker(), Request.Lease, Done);
  });
  ASSERT_TRUE(Released.ok()) << Released.status();
  EXPECT_EQ(this->query(Id)->State, LeaseState::Unknown);
  EXPECT_EQ(this->runs(), 1u);
}

// Guards against a result that is changed in transit or belongs to another
// lease, and against a repeated run that runs the task twice.
TYPED_TEST(WorkerClientContract, RunAndStartAndWaitReturnTheWholeResult) {
  std::string Body = "opaque \r\n\x01\xff body";
  auto Result = this->run("a", Body);
  ASSERT_TRUE(Result.ok()) << Result.status();
  EXPECT_TRUE(TaskBody::isResultOf(Result->Body, "owner a", Body));
  EXPECT_TRUE(this->run("a", Body).ok());
  EXPECT_EQ(this->runs(), 1u) << "a repeated call must not run the task again";
  ASSERT_TRUE(this->acquire(this->request("b")).ok());
  auto Waited = this->template await<TaskResult>([&](auto Done) {
    this->Back.client().startAndWait(this->Back.worker(), LeaseId("b"), Lower,
                                     Body, LongWait, Done);
  });
  ASSERT_TRUE(Waited.ok()) << Waited.status();
  EXPECT_TRUE(TaskBody::isResultOf(Waited->Body, "owner b", Body));
}

// Guards against reporting an attempt that ran as "not run", and against a
// worker that runs an attempt which it refused.
TYPED_TEST(WorkerClientContract, RefusalsProveThatNothingRan) {
  LeaseRequest Big = this->request("big");
  Big.Slots = 3;
  EXPECT_EQ(errorKindOf(this->acquire(Big).status()), ErrorKind::NoCapacity);
  auto Unreachable = this->template await<TaskResult>([&](auto Done) {
    this->Back.client().run(this->Back.unusedAddress(), this->request("n"), "",
                            LongWait, Done);
  });
  EXPECT_EQ(errorKindOf(Unreachable.status()), ErrorKind::NoCapacity);
  LeaseRequest Renewed = this->request("l");
  Renewed.Holder = Higher;
  ASSERT_TRUE(this->acquire(Renewed).ok());
  EXPECT_EQ(errorKindOf(this->start("l", Lower, "").status()),
            ErrorKind::Conflict);
  EXPECT_EQ(*this->revoke("l"), RevokeResult::NeverStarted);
  EXPECT_EQ(errorKindOf(this->start("l", Higher, "").status()),
            ErrorKind::Conflict);
  LeaseRequest Short = this->request("s");
  Short.Ttl = absl::Milliseconds(20);
  ASSERT_TRUE(this->acquire(Short).ok());
  ASSERT_TRUE(this->awaitState("s", LeaseState::Expired));
  EXPECT_EQ(errorKindOf(this->start("s", Lower, "").status()),
            ErrorKind::Conflict);
  this->Back.model().setDraining(true);
  EXPECT_EQ(errorKindOf(this->run("d", "").status()), ErrorKind::NoCapacity);
  EXPECT_EQ(this->runs(), 0u);
}

// Guards against reporting a started task as never started, and against a stop
// under a lower epoch.
TYPED_TEST(WorkerClientContract, RevokeReportsTheStateOfTheTask) {
  ASSERT_TRUE(this->acquire(this->request("l")).ok());
  ASSERT_TRUE(this->start("l", Lower, TaskBody::make(absl::Hours(1))).ok());
  EXPECT_EQ(*this->revoke("l"), RevokeResult::Running);
  auto Old = this->template await<LeaseReport>([&](auto Done) {
    this->Back.client().stop(this->Back.worker(), LeaseId("l"),
                             Epoch{0, HostId("z")}, Done);
  });
  EXPECT_EQ(errorKindOf(Old.status()), ErrorKind::Conflict);
  auto Stopped = this->template await<LeaseReport>([&](auto Done) {
    this->Back.client().stop(this->Back.worker(), LeaseId("l"), Lower, Done);
  });
  EXPECT_EQ(Stopped->State, LeaseState::Stopped);
  EXPECT_EQ(*this->revoke("l"), RevokeResult::Finished);
  EXPECT_EQ(*this->revoke("unseen"), RevokeResult::Unknown);
}

// Guards against renewing a lease for a lower epoch after a higher one has
// taken it over, and against losing the status when it is left out as
// unchanged.
TYPED_TEST(WorkerClientContract, RenewTakesOverAndReportsTheStatus) {
  ASSERT_TRUE(this->acquire(this->request("l")).ok());
  auto Renew = [&](const Epoch &Holder) {
    return this->template await<RenewResult>([&](auto Done) {
      this->Back.client().renew(this->Back.worker(),
                                {LeaseId("l"), LeaseId("gone")}, Holder,
                                absl::Seconds(20), Done);
    });
  };
  for (int I = 0; I < 2; ++I) {
    auto Result = Renew(Higher);
    ASSERT_TRUE(Result.ok()) << Result.status();
    EXPECT_EQ(Result->Renewed, std::vector<LeaseId>{LeaseId("l")});
    EXPECT_EQ(Result->Refused, std::vector<LeaseId>{LeaseId("gone")});
    ASSERT_EQ(Result->Status.Leases.size(), 1u);
    EXPECT_EQ(Result->Status.Leases[0].Holder, Higher);
  }
  EXPECT_EQ(Renew(Lower)->Refused.size(), 2u);
}

// Guards against returning a cached status after the worker's has changed.
TYPED_TEST(WorkerClientContract, StatusShowsTheWorkersCurrentState) {
  for (int I = 0; I < 3; ++I) {
    auto Status = this->status();
    ASSERT_TRUE(Status.ok()) << Status.status();
    EXPECT_EQ(Status->Worker, WorkerId("w1"));
    EXPECT_EQ(Status->Rack, RackId("r1"));
    EXPECT_EQ(Status->FreeSlots, 2);
    EXPECT_EQ(Status->Accelerators, 8);
    EXPECT_TRUE(Status->Leases.empty());
  }
  ASSERT_TRUE(this->acquire(this->request("l")).ok());
  ASSERT_TRUE(this->start("l", Lower, TaskBody::make(absl::Hours(1))).ok());
  auto Busy = this->status();
  EXPECT_EQ(Busy->FreeSlots, 1);
  EXPECT_EQ(Busy->Usage, 0.5);
  ASSERT_EQ(Busy->Leases.size(), 1u);
  EXPECT_EQ(Busy->Leases[0].State, LeaseState::Running);
  EXPECT_EQ(Busy->Leases[0].Kind, KindOfWorkId("price-check"));
  absl::Duration Before = Busy->Leases[0].RunTime;
  EXPECT_TRUE(this->Back.waitUntil([&] {
    return this->status()->Leases[0].RunTime > Before;
  })) << "the run time in an unchanged status must keep increasing";
  std::string Incarnation = Busy->Incarnation;
  this->Back.model().restart();
  EXPECT_NE(this->status()->Incarnation, Incarnation);
  EXPECT_EQ(this->status()->FreeSlots, 2);
}

// Guards against reporting a checkpoint before it is written, and against a
// throttle that ends the task.
TYPED_TEST(WorkerClientContract, CheckpointAndThrottle) {
  ASSERT_TRUE(this->acquire(this->request("l")).ok());
  ASSERT_TRUE(this->start("l", Lower, TaskBody::make(absl::Hours(1))).ok());
  auto Checkpoint = [&] {
    return this->template await<LeaseReport>([&](auto Done) {
      this->Back.client().checkpoint(this->Back.worker(), LeaseId("l"), Lower,
                                     Done);
    });
  };
  EXPECT_FALSE(Checkpoint()->Checkpointed);
  EXPECT_TRUE(this->Back.waitUntil([&] { return Checkpoint()->Checkpointed; }));
  auto Throttled = this->template await<LeaseReport>([&](auto Done) {
    this->Back.client().throttle(this->Back.worker(), LeaseId("l"), Lower, 0.25,
                                 Done);
  });
  EXPECT_EQ(Throttled->State, LeaseState::Running);
}

// Guards against passing a faulty answer to the caller (G3) and against
// reporting its task as "not run" (G4).
TYPED_TEST(WorkerClientContract, FaultyAnswersAreDiscarded) {
  struct FaultCase {
    const char *Name;
    std::function<void(WorkerFaults &)> Set;
    ErrorKind Expected;
    absl::Duration Timeout = LongWait;
  };
  const FaultCase Cases[] = {
      {"lost", [](auto &F) { F.LoseAnswers = 1; }, ErrorKind::OutcomeUnknown,
       absl::Seconds(1)},
      {"crossed", [](auto &F) { F.CrossAnswers = 1; },
       ErrorKind::AnswerMismatch},
      {"cut", [](auto &F) { F.TruncateAnswers = 1; },
       ErrorKind::AnswerTruncated},
      {"late", [](auto &F) { F.AnswerDelay = absl::Seconds(20); },
       ErrorKind::OutcomeUnknown, absl::Seconds(1)},
  };
  std::string Body = TaskBody::make(absl::Milliseconds(1), "x", 2000);
  for (const FaultCase &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    Case.Set(this->Back.faults());
    auto Bad = this->run(Case.Name, Body, Case.Timeout);
    EXPECT_EQ(errorKindOf(Bad.status()), Case.Expected) << Bad.status();
    this->Back.faults() = WorkerFaults();
    auto Good = this->run(Case.Name, Body);
    ASSERT_TRUE(Good.ok()) << Good.status();
    EXPECT_TRUE(TaskBody::isResultOf(Good->Body,
                                     std::string("owner ") + Case.Name, Body));
  }
  EXPECT_EQ(this->runs(), std::size(Cases))
      << "repeated calls must not run the task again";
  this->Back.model().setFailEverything(true);
  EXPECT_EQ(errorKindOf(this->run("f", Body).status()), ErrorKind::TaskFailed);
}

// Guards against taking a call that timed out for one that never runs: a frozen
// worker executes it when it resumes.
TYPED_TEST(WorkerClientContract, FrozenWorkerExecutesCallsWhenItResumes) {
  ASSERT_TRUE(this->status().ok());
  this->Back.setFrozen(true);
  auto Bad = this->run("a", "body", absl::Seconds(1));
  EXPECT_EQ(errorKindOf(Bad.status()), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(this->runs(), 0u);
  this->Back.setFrozen(false);
  EXPECT_TRUE(this->Back.waitUntil([&] { return this->runs() == 1; }));
}
