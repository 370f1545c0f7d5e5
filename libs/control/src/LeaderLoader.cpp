#include "LeaderLoader.h"

#include "WorkersRecord.h"
#include "base/Executor.h"
#include "control/RecordKeys.h"
#include "control/WorkerDirectory.h"
#include "fleet/BatchJobCodec.h"
#include "fleet/JobProgressCodec.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include "absl/container/flat_hash_map.h"

#include <utility>

namespace vanillayard {

/// Delay before a failed read is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(200);

void LeaderLoader::start(Callback Finished) {
  this->Done = std::move(Finished);
  // Reads the jobs before the progress: the watch starts at the revision of the
  // job listing, so it reports jobs that are created while progress is read.
  this->readJobs();
  this->readRecordedWorkers();
  this->readWorkers();
}

void LeaderLoader::retryLater(const absl::Status &Error,
                              void (LeaderLoader::*Step)()) {
  this->Events.warning("leader",
                       "reading the leader's records failed, retrying",
                       {{"error", Error}});
  this->Exec.runAfter(RetryDelay, [Weak = this->weak_from_this(), Step] {
    if (std::shared_ptr<LeaderLoader> Self = Weak.lock())
      (Self.get()->*Step)();
  });
}

void LeaderLoader::readJobs() {
  this->Store.list(
      std::string(RecordKeys::JobPrefix),
      [Weak = this->weak_from_this()](absl::StatusOr<StoreListing> Result) {
        std::shared_ptr<LeaderLoader> Self = Weak.lock();
        if (!Self)
          return;
        if (!Result.ok())
          return Self->retryLater(Result.status(), &LeaderLoader::readJobs);
        Self->Jobs = *std::move(Result);
        Self->readProgress();
      });
}

void LeaderLoader::readProgress() {
  this->Store.list(
      std::string(RecordKeys::ProgressPrefix),
      [Weak = this->weak_from_this()](absl::StatusOr<StoreListing> Result) {
        std::shared_ptr<LeaderLoader> Self = Weak.lock();
        if (!Self)
          return;
        if (!Result.ok())
          return Self->retryLater(Result.status(), &LeaderLoader::readProgress);
        Self->Progress = *std::move(Result);
        Self->finishIfComplete();
      });
}

void LeaderLoader::readRecordedWorkers() {
  this->Store.get(std::string(RecordKeys::Workers),
                  [Weak = this->weak_from_this()](
                      absl::StatusOr<std::optional<StoreItem>> Result) {
                    std::shared_ptr<LeaderLoader> Self = Weak.lock();
                    if (!Self)
                      return;
                    if (!Result.ok())
                      return Self->retryLater(
                          Result.status(), &LeaderLoader::readRecordedWorkers);
                    Self->RecordedWorkers.emplace();
                    if (Result->has_value()) {
                      Self->RecordedWorkers = decodeWorkers((*Result)->Value);
                      Self->WorkersRevision = (*Result)->Revision;
                    }
                    Self->finishIfComplete();
                  });
}

void LeaderLoader::readWorkers() {
  this->Directory.fetch(
      [Weak = this->weak_from_this()](
          absl::StatusOr<std::vector<WorkerRegistration>> Result) {
        std::shared_ptr<LeaderLoader> Self = Weak.lock();
        if (!Self)
          return;
        if (!Result.ok())
          return Self->retryLater(Result.status(), &LeaderLoader::readWorkers);
        Self->Workers = *std::move(Result);
        Self->finishIfComplete();
      });
}

void LeaderLoader::finishIfComplete() {
  if (this->Progress && this->RecordedWorkers && this->Workers)
    this->Done(this->assembleRecords());
}

LoadedRecords LeaderLoader::assembleRecords() const {
  LoadedRecords Records;
  Records.JobRevision = this->Jobs->Revision;
  Records.RecordedWorkers = *this->RecordedWorkers;
  Records.WorkersRevision = this->WorkersRevision;
  Records.Workers = *this->Workers;
  absl::flat_hash_map<JobId, const StoreItem *> ProgressById;
  for (const StoreItem &Item : this->Progress->Items)
    if (std::optional<JobId> Id = RecordKeys::parseProgressKey(Item.Key))
      ProgressById.emplace(*Id, &Item);
  for (const StoreItem &Item : this->Jobs->Items) {
    std::optional<RecordKeys::JobKey> Key = RecordKeys::parseJobKey(Item.Key);
    if (!Key)
      continue;
    if (Key->IsCancel) {
      Records.Cancelled.push_back(Key->Id);
      continue;
    }
    absl::StatusOr<BatchJob> Job = decodeBatchJob(Item.Value);
    if (!Job.ok()) {
      this->Events.error("leader",
                         "job record could not be decoded, skipping the job",
                         {{"key", Item.Key}, {"error", Job.status()}});
      continue;
    }
    auto Found = ProgressById.find(Key->Id);
    if (Found == ProgressById.end()) {
      // Both records are created in one transaction, so only a deletion leaves
      // one of them. Builds before this one deleted them separately.
      this->Events.warning(
          "leader", "job has no progress record, completing its deletion",
          {{"job", Key->Id}, {"revision", Item.Revision}});
      Records.DeletedInPart.push_back(
          {Key->Id, Item.Revision, /*HasProgress=*/false});
      continue;
    }
    JobProgress Known(*Job);
    if (absl::Status Error = decodeProgress(Found->second->Value, Known);
        !Error.ok()) {
      this->Events.error(
          "leader", "progress record could not be decoded, skipping the job",
          {{"job", Key->Id}, {"error", Error}});
      continue;
    }
    Records.Jobs.push_back({*std::move(Job), std::move(Known), Item.Revision,
                            Found->second->Revision});
  }
  return Records;
}

} // namespace vanillayard
