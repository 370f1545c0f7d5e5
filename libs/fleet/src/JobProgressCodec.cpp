#include "fleet/JobProgressCodec.h"

#include "base/ErrorKind.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static absl::Status unreadable(const std::string &Detail) {
  return makeError(ErrorKind::Internal, "unreadable progress: " + Detail);
}

/// One character for each task, '1' for done.
static std::string doneMap(const JobProgress &Progress) {
  std::string Map;
  Map.reserve(Progress.tasks().size());
  for (const TaskProgress &Task : Progress.tasks())
    Map.push_back(Task.IsDone ? '1' : '0');
  return Map;
}

std::string encodeProgress(const BatchJob &Job, const JobProgress &Progress) {
  Json Out = {{"state", BatchStateNames.nameOf(Progress.State)},
              {"queue", Job.Queue}};
  if (!isFinal(Progress.State)) {
    Out["done"] = doneMap(Progress);
    // Rows of position, failed runs and checkpoint.
    Json Rows = Json::array();
    for (size_t I = 0; I < Progress.tasks().size(); ++I) {
      const TaskProgress &Task = Progress.tasks()[I];
      bool HasMore = !Task.FailedRuns.empty() || !Task.Checkpoint.empty();
      if (!Task.IsDone && HasMore)
        Rows.push_back({I, Task.FailedRuns, Task.Checkpoint});
    }
    if (!Rows.empty())
      Out["tasks"] = std::move(Rows);
  }
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static absl::StatusOr<ProgressSummary> summaryOf(const Json &In) {
  std::optional<BatchState> State =
      BatchStateNames.parse(In.at("state").get<std::string>());
  if (!State)
    return unreadable("unknown state");
  return ProgressSummary{*State, In.at("queue").get<std::string>()};
}

absl::StatusOr<ProgressSummary> decodeSummary(std::string_view Text) {
  try {
    return summaryOf(Json::parse(Text));
  } catch (const Json::exception &Error) {
    return unreadable(Error.what());
  }
}

static absl::Status readTasks(const Json &In, JobProgress &Progress) {
  std::vector<TaskProgress> &Tasks = Progress.tasks();
  auto Done = In.value("done", std::string());
  if (!Done.empty() && Done.size() != Tasks.size())
    return unreadable("the number of tasks differs from the job's");
  for (size_t I = 0; I < Done.size(); ++I)
    Tasks[I].IsDone = Done[I] == '1';
  for (const Json &Row : In.value("tasks", Json::array())) {
    auto Position = Row.at(0).get<size_t>();
    if (Position >= Tasks.size())
      return unreadable("a task is out of range");
    Tasks[Position].FailedRuns = Row.at(1).get<std::vector<int64_t>>();
    Tasks[Position].Checkpoint = Row.at(2).get<std::string>();
  }
  return absl::OkStatus();
}

absl::Status decodeProgress(std::string_view Text, JobProgress &Progress) {
  try {
    Json In = Json::parse(Text);
    absl::StatusOr<ProgressSummary> Summary = summaryOf(In);
    if (!Summary.ok())
      return Summary.status();
    Progress.State = Summary->State;
    return readTasks(In, Progress);
  } catch (const Json::exception &Error) {
    return unreadable(Error.what());
  }
}

} // namespace vanillayard
