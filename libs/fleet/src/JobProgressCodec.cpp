#include "fleet/JobProgressCodec.h"

#include "base/ErrorKind.h"
#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static absl::Status malformedRecord(const std::string &Detail) {
  return makeError(ErrorKind::Internal, "malformed progress record: " + Detail);
}

/// Returns a string with one character per task, '1' for done.
static std::string encodeDoneFlags(const JobProgress &Progress) {
  std::string Flags;
  Flags.reserve(Progress.tasks().size());
  for (const TaskProgress &Task : Progress.tasks())
    Flags.push_back(Task.IsDone ? '1' : '0');
  return Flags;
}

/// Returns a row for each task that may have a run: its position, the worker
/// and the number of the run. The list is present even if it is empty, as a
/// record without it says nothing about runs.
static Json encodePlacements(const JobProgress &Progress) {
  Json Rows = Json::array();
  for (size_t I = 0; I < Progress.tasks().size(); ++I) {
    const TaskProgress &Task = Progress.tasks()[I];
    if (!Task.IsDone && !Task.PlacedOn.empty())
      Rows.push_back({I, Task.PlacedOn.str(), Task.PlacedRun});
  }
  return Rows;
}

std::string encodeProgress(const BatchJob &Job, const JobProgress &Progress) {
  Json Out = {{"state", BatchStateNames.nameOf(Progress.State)},
              {"queue", Job.Queue}};
  if (!isFinal(Progress.State)) {
    Out["done"] = encodeDoneFlags(Progress);
    // Each row: position of the task, numbers of its failed runs, checkpoint.
    Json Rows = Json::array();
    for (size_t I = 0; I < Progress.tasks().size(); ++I) {
      const TaskProgress &Task = Progress.tasks()[I];
      bool HasDetails = !Task.FailedRuns.empty() || !Task.Checkpoint.empty();
      if (!Task.IsDone && HasDetails)
        Rows.push_back({I, Task.FailedRuns, Task.Checkpoint});
    }
    if (!Rows.empty())
      Out["tasks"] = std::move(Rows);
    Out["placed"] = encodePlacements(Progress);
  }
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static absl::StatusOr<ProgressSummary> parseSummary(const Json &In) {
  std::optional<BatchState> State =
      BatchStateNames.parse(In.at("state").get<std::string>());
  if (!State)
    return malformedRecord("unknown state");
  return ProgressSummary{*State, In.at("queue").get<std::string>()};
}

absl::StatusOr<ProgressSummary> decodeProgressSummary(std::string_view Text) {
  try {
    return parseSummary(parseUntrustedJson(Text));
  } catch (const Json::exception &Error) {
    return malformedRecord(Error.what());
  }
}

static absl::Status readTasks(const Json &In, JobProgress &Progress) {
  std::vector<TaskProgress> &Tasks = Progress.tasks();
  auto Done = In.value("done", std::string());
  if (!Done.empty() && Done.size() != Tasks.size())
    return malformedRecord("the number of tasks differs from the job's");
  for (size_t I = 0; I < Done.size(); ++I)
    Tasks[I].IsDone = Done[I] == '1';
  for (const Json &Row : In.value("tasks", Json::array())) {
    auto Position = Row.at(0).get<size_t>();
    if (Position >= Tasks.size())
      return malformedRecord("the position of a task is out of range");
    Tasks[Position].FailedRuns = Row.at(1).get<std::vector<int64_t>>();
    Tasks[Position].Checkpoint = Row.at(2).get<std::string>();
  }
  Progress.ArePlacementsRecorded = In.contains("placed");
  for (const Json &Row : In.value("placed", Json::array())) {
    auto Position = Row.at(0).get<size_t>();
    if (Position >= Tasks.size())
      return malformedRecord("the position of a placed task is out of range");
    Tasks[Position].PlacedOn = WorkerId(Row.at(1).get<std::string>());
    Tasks[Position].PlacedRun = Row.at(2).get<int64_t>();
  }
  return absl::OkStatus();
}

absl::Status decodeProgress(std::string_view Text, JobProgress &Progress) {
  try {
    Json In = parseUntrustedJson(Text);
    absl::StatusOr<ProgressSummary> Summary = parseSummary(In);
    if (!Summary.ok())
      return Summary.status();
    Progress.State = Summary->State;
    return readTasks(In, Progress);
  } catch (const Json::exception &Error) {
    return malformedRecord(Error.what());
  }
}

} // namespace vanillayard
