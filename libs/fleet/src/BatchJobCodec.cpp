#include "fleet/BatchJobCodec.h"

#include "base/ErrorKind.h"
#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static Json encodeStep(const BatchStep &Step) {
  Json Out = {{"tasks", Step.TaskCount},
              {"millicores", Step.PerTask.MilliCores},
              {"memory_mib", Step.PerTask.MemoryMib},
              {"accelerators", Step.PerTask.Accelerators},
              {"estimate_ms", absl::ToInt64Milliseconds(Step.Estimate)}};
  if (!Step.DependsOn.empty())
    Out["after"] = Step.DependsOn;
  if (Step.IsCheckpointing)
    Out["checkpointing"] = true;
  if (Step.IsGang)
    Out["gang"] = true;
  if (Step.PrefersSameRack)
    Out["same_rack"] = true;
  if (!Step.RequiredLabel.empty())
    Out["label"] = Step.RequiredLabel;
  if (!Step.DataRack.empty())
    Out["data_rack"] = Step.DataRack.str();
  if (Step.MaxPerWorker > 0)
    Out["max_per_worker"] = Step.MaxPerWorker;
  if (Step.AllowsDuplicates)
    Out["duplicates"] = true;
  return Out;
}

static BatchStep decodeStep(const Json &In) {
  BatchStep Step;
  Step.TaskCount = In.at("tasks").get<int>();
  Step.PerTask.MilliCores = In.at("millicores").get<int64_t>();
  Step.PerTask.MemoryMib = In.at("memory_mib").get<int64_t>();
  Step.PerTask.Accelerators = In.at("accelerators").get<int64_t>();
  Step.Estimate = absl::Milliseconds(In.at("estimate_ms").get<int64_t>());
  Step.DependsOn = In.value("after", std::vector<int>());
  Step.IsCheckpointing = In.value("checkpointing", false);
  Step.IsGang = In.value("gang", false);
  Step.PrefersSameRack = In.value("same_rack", false);
  Step.RequiredLabel = In.value("label", "");
  Step.DataRack = RackId(In.value("data_rack", ""));
  Step.MaxPerWorker = In.value("max_per_worker", 0);
  Step.AllowsDuplicates = In.value("duplicates", false);
  return Step;
}

std::string encodeBatchJob(const BatchJob &Job) {
  Json Steps = Json::array();
  for (const BatchStep &Step : Job.Steps)
    Steps.push_back(encodeStep(Step));
  Json Out = {{"id", Job.Id.str()},
              {"queue", Job.Queue},
              {"account", Job.Account.str()},
              {"service", Job.WorkerPool},
              {"priority", Job.Priority},
              {"max_attempts", Job.MaxAttempts},
              {"stretch", Job.Stretch},
              {"target_ms", absl::ToInt64Milliseconds(Job.TargetLatency)},
              {"submitted_ms", absl::ToUnixMillis(Job.Submitted)},
              {"task_input", Job.Specification},
              {"steps", std::move(Steps)}};
  if (Job.Schedule.Count > 0)
    Out["schedule"] = {
        {"count", Job.Schedule.Count},
        {"first_ms", absl::ToUnixMillis(Job.Schedule.FirstDue)},
        {"interval_ms", absl::ToInt64Milliseconds(Job.Schedule.Interval)}};
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static BatchJob decodeFields(const Json &In) {
  BatchJob Job;
  Job.Id = JobId(In.at("id").get<std::string>());
  Job.Queue = In.at("queue").get<std::string>();
  Job.Account = ClientAccountId(In.at("account").get<std::string>());
  Job.WorkerPool = In.at("service").get<std::string>();
  Job.Priority = In.at("priority").get<int>();
  Job.MaxAttempts = In.at("max_attempts").get<int>();
  Job.Stretch = In.at("stretch").get<double>();
  Job.TargetLatency = absl::Milliseconds(In.at("target_ms").get<int64_t>());
  Job.Submitted = absl::FromUnixMillis(In.at("submitted_ms").get<int64_t>());
  Job.Specification = In.at("task_input").get<std::string>();
  for (const Json &Step : In.at("steps"))
    Job.Steps.push_back(decodeStep(Step));
  if (auto Found = In.find("schedule"); Found != In.end()) {
    Job.Schedule.Count = Found->at("count").get<int>();
    Job.Schedule.FirstDue =
        absl::FromUnixMillis(Found->at("first_ms").get<int64_t>());
    Job.Schedule.Interval =
        absl::Milliseconds(Found->at("interval_ms").get<int64_t>());
  }
  return Job;
}

absl::StatusOr<BatchJob> decodeBatchJob(std::string_view Text) {
  // nlohmann::json throws on malformed text, a missing key or a wrong type.
  try {
    BatchJob Job = decodeFields(parseUntrustedJson(Text));
    if (absl::Status Status = validate(Job); !Status.ok())
      return Status;
    return Job;
  } catch (const Json::exception &Error) {
    return makeError(ErrorKind::Internal,
                     std::string("malformed job record: ") + Error.what());
  }
}

} // namespace vanillayard
