#include "jobs/JobStore.h"

#include "base/ErrorKind.h"
#include "store/Store.h"

#include <utility>

namespace vanillayard {

// Wraps a callback so that it does nothing after the JobStore is destroyed.
template <typename Work>
static auto whileAlive(const std::shared_ptr<bool> &Alive, Work Then) {
  return [Weak = std::weak_ptr<bool>(Alive),
          Then = std::move(Then)](auto &&...Arguments) {
    if (Weak.lock())
      Then(std::forward<decltype(Arguments)>(Arguments)...);
  };
}

absl::StatusOr<StoredJob> JobStore::decode(const StoredValue &Value) {
  auto Record = JobRecord::decode(Value.Value);
  if (!Record.ok())
    return Record.status();
  return StoredJob{*std::move(Record), Value.ModRevision};
}

void JobStore::get(const JobId &Id, Callback<StoredJob> Done) {
  this->Service->get(
      JobRecord::keyOf(Id),
      whileAlive(this->Alive, [Done = std::move(Done)](
                                  const absl::StatusOr<RangeResult> &Read) {
        if (!Read.ok())
          return Done(Read.status());
        if (Read->Values.empty())
          return Done(makeError(ErrorKind::NotFound, "there is no such job"));
        Done(decode(Read->Values.front()));
      }));
}

void JobStore::list(Callback<std::vector<StoredJob>> Done) {
  this->Service->list(
      std::string(JobRecord::KeyPrefix),
      whileAlive(this->Alive, [Done = std::move(Done)](
                                  const absl::StatusOr<RangeResult> &Read) {
        if (!Read.ok())
          return Done(Read.status());
        std::vector<StoredJob> Jobs;
        for (const StoredValue &Value : Read->Values)
          if (auto Job = decode(Value); Job.ok())
            Jobs.push_back(*std::move(Job));
        Done(std::move(Jobs));
      }));
}

static absl::StatusOr<StoredJob>
checkSameRequest(const JobRecord &Record, absl::StatusOr<StoredJob> Found) {
  if (Found.ok() && Found->Record.RequestDigest != Record.RequestDigest)
    return makeError(ErrorKind::KeyReused,
                     "the idempotency key was used for a different request");
  return Found;
}

void JobStore::create(const JobRecord &Record, Callback<StoredJob> Done) {
  // The read shows that the store answers before anything is written. A job is
  // reported as not run only if no write was sent, because a write that the
  // store does not confirm may take effect later.
  this->get(Record.Id, [this, Record, Done = std::move(Done)](
                           absl::StatusOr<StoredJob> Found) {
    if (Found.ok())
      return Done(checkSameRequest(Record, std::move(Found)));
    if (errorKindOf(Found.status()) != ErrorKind::NotFound)
      return Done(Found.status());
    this->writeNewRecord(Record, MaxCreateTries, Done);
  });
}

void JobStore::writeNewRecord(const JobRecord &Record, int TriesLeft,
                              Callback<StoredJob> Done) {
  auto Then = [this, Record, TriesLeft,
               Done](const absl::StatusOr<std::vector<WriteResult>> &Written) {
    if (!Written.ok() && TriesLeft > 1)
      return this->writeNewRecord(Record, TriesLeft - 1, Done);
    if (!Written.ok() || Written->size() != 1)
      return Done(
          makeError(ErrorKind::OutcomeUnknown,
                    "the store did not confirm the write of the job record; "
                    "the job may have been recorded"));
    const WriteResult &Result = Written->front();
    if (Result.Applied)
      return Done(StoredJob{Record, Result.ModRevision});
    Done(checkSameRequest(
        Record, decode({Record.key(), Result.FoundValue, Result.ModRevision})));
  };
  this->Service->write({{Record.key(), 0, Record.encode(), false}},
                       whileAlive(this->Alive, std::move(Then)));
}

void JobStore::update(const JobRecord &Record, int64_t ExpectedRevision,
                      Callback<JobUpdate> Done) {
  auto Then = [this, Record, ExpectedRevision,
               Done](const absl::StatusOr<std::vector<WriteResult>> &Written) {
    if (!Written.ok() || Written->size() != 1)
      return this->resolveUpdate(Record, ExpectedRevision, Done);
    const WriteResult &Result = Written->front();
    if (Result.Applied)
      return Done(JobUpdate{true, {Record, Result.ModRevision}});
    if (Result.ModRevision == 0)
      return Done(
          makeError(ErrorKind::NotFound, "the job record does not exist"));
    auto Found = decode({Record.key(), Result.FoundValue, Result.ModRevision});
    if (!Found.ok())
      return Done(Found.status());
    // If an earlier write of the same record took effect late, this one
    // conflicts with it.
    bool Ours = Found->Record.encode() == Record.encode();
    Done(JobUpdate{Ours, *std::move(Found)});
  };
  this->Service->write(
      {{Record.key(), ExpectedRevision, Record.encode(), false}},
      whileAlive(this->Alive, std::move(Then)));
}

void JobStore::resolveUpdate(const JobRecord &Record, int64_t ExpectedRevision,
                             Callback<JobUpdate> Done) {
  this->get(Record.Id, [Record, ExpectedRevision, Done = std::move(Done)](
                           absl::StatusOr<StoredJob> Found) {
    if (!Found.ok())
      return Done(Found.status());
    if (Found->ModRevision <= ExpectedRevision)
      return Done(
          makeError(ErrorKind::PlatformUnavailable,
                    "the store did not confirm the write of the job record"));
    bool Ours = Found->Record.encode() == Record.encode();
    Done(JobUpdate{Ours, *std::move(Found)});
  });
}

void JobStore::remove(const JobId &Id, int64_t ExpectedRevision) {
  this->Service->write({{JobRecord::keyOf(Id), ExpectedRevision, "", true}},
                       [](const auto &) {});
}

} // namespace vanillayard
