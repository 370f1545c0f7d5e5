#ifndef VANILLAYARD_CONTROL_LEADERLOADER_H
#define VANILLAYARD_CONTROL_LEADERLOADER_H

#include "LoadedRecords.h"
#include "store/StoreListing.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>
#include <optional>

namespace vanillayard {

class CoordinationStore;
class Executor;
class Log;
class WorkerDirectory;

/// Reads all records that a new leader needs. Retries each read until it
/// succeeds or the loader is destroyed.
class LeaderLoader : public std::enable_shared_from_this<LeaderLoader> {
public:
  using Callback = std::function<void(LoadedRecords)>;

  LeaderLoader(Executor &Exec, CoordinationStore &Store,
               WorkerDirectory &Directory, Log &Events)
      : Exec(Exec), Store(Store), Directory(Directory), Events(Events) {}

  /// \p Done runs once, when all records have been read.
  void start(Callback Done);

private:
  void readJobs();
  void readProgress();
  void readRecordedWorkers();
  void readWorkers();
  void finishIfComplete();
  void retryLater(const absl::Status &Error, void (LeaderLoader::*Step)());
  LoadedRecords assembleRecords() const;

  Executor &Exec;
  CoordinationStore &Store;
  WorkerDirectory &Directory;
  Log &Events;
  Callback Done;
  std::optional<StoreListing> Jobs;
  std::optional<StoreListing> Progress;
  std::optional<std::vector<WorkerId>> RecordedWorkers;
  int64_t WorkersRevision = 0;
  std::optional<std::vector<WorkerRegistration>> Workers;
};

} // namespace vanillayard

#endif
