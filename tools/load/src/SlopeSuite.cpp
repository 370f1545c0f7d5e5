#include "load/SlopeSuite.h"

#include "base/AbslView.h"
#include "standin_worker/TaskBody.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillayard {

static constexpr double BytesPerMiB = 1 << 20;
static constexpr int AcceleratorsPerWorker = 8;
static constexpr absl::Duration LongRunTime = absl::Minutes(5);
static constexpr char JobKind[] = "cut-sheet";

void SlopeSuite::addPoint(const std::string &Quantity, const std::string &Unit,
                          const std::string &Size, double X, double Y) {
  for (SlopeResult &Result : this->Results)
    if (Result.Quantity == Quantity && Result.Size == Size) {
      Result.Points.push_back({X, Y});
      return;
    }
  this->Results.push_back({Quantity, Unit, Size, {{X, Y}}});
}

void SlopeSuite::addCost(const std::string &Size, int X, const IdleCost &Cost) {
  this->addPoint("processor time of the busiest host", "ms/s", Size, X,
                 Cost.ProcessorMsPerSecond);
  this->addPoint("resident memory of the largest host", "MiB", Size, X,
                 Cost.ResidentMiB);
  this->addPoint("bytes sent by the busiest host", "B/s", Size, X,
                 Cost.SentBytesPerSecond);
  this->addPoint("bytes received by the busiest host", "B/s", Size, X,
                 Cost.ReceivedBytesPerSecond);
  this->RunOptions.Progress(fmt::format(
      "{} {}: {:.2f} ms/s, {:.1f} MiB, sent {:.0f} B/s, received {:.0f} B/s", X,
      Size, Cost.ProcessorMsPerSecond, Cost.ResidentMiB,
      Cost.SentBytesPerSecond, Cost.ReceivedBytesPerSecond));
}

absl::StatusOr<SlopeSuite::IdleCost>
SlopeSuite::measureIdleCost(DataCentreTestBed &Bed) {
  absl::SleepFor(SettleTime);
  size_t Hosts = Bed.callerAddresses().size();
  std::vector<ProcessUsage> Before;
  for (size_t I = 0; I < Hosts; ++I) {
    absl::StatusOr<ProcessUsage> Usage = Bed.usageOf(I);
    if (!Usage.ok())
      return Usage.status();
    Before.push_back(*Usage);
  }
  absl::Time Start = absl::Now();
  absl::SleepFor(this->RunOptions.ObservationTime);
  IdleCost Worst;
  for (size_t I = 0; I < Hosts; ++I) {
    absl::StatusOr<ProcessUsage> Usage = Bed.usageOf(I);
    if (!Usage.ok())
      return Usage.status();
    double Seconds = absl::ToDoubleSeconds(absl::Now() - Start);
    auto Raise = [](double &Highest, double Value) {
      Highest = std::max(Highest, Value);
    };
    Raise(Worst.ProcessorMsPerSecond,
          absl::ToDoubleMilliseconds(Usage->ProcessorTime -
                                     Before[I].ProcessorTime) /
              Seconds);
    Raise(Worst.ResidentMiB,
          static_cast<double>(Usage->ResidentBytes) / BytesPerMiB);
    Raise(Worst.SentBytesPerSecond,
          static_cast<double>(Usage->BytesWritten - Before[I].BytesWritten) /
              Seconds);
    Raise(Worst.ReceivedBytesPerSecond,
          static_cast<double>(Usage->BytesRead - Before[I].BytesRead) /
              Seconds);
  }
  return Worst;
}

absl::Status
SlopeSuite::measureIdle(const std::string &Size, const std::vector<int> &Values,
                        void (*SetSize)(DataCentreTestBedSize &, int)) {
  for (int Value : Values) {
    DataCentreTestBedSize BedSize;
    SetSize(BedSize, Value);
    auto Bed = this->Factory.start(BedSize);
    if (!Bed.ok())
      return Bed.status();
    absl::StatusOr<IdleCost> Cost = this->measureIdleCost(**Bed);
    if (!Cost.ok())
      return Cost.status();
    this->addCost(Size, Value, *Cost);
  }
  return absl::OkStatus();
}

absl::Status SlopeSuite::waitUntil(const std::string &What,
                                   const std::function<bool()> &Condition) {
  absl::Time Limit = absl::Now() + WaitLimit;
  while (!Condition()) {
    if (absl::Now() > Limit)
      return absl::DeadlineExceededError(
          fmt::format("timed out waiting for: {} (limit {} s)", What,
                      absl::ToInt64Seconds(WaitLimit)));
    absl::SleepFor(PollInterval);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> SlopeSuite::submitJob(DataCentreTestBed &Bed,
                                                  const std::string &Account,
                                                  int Accelerators,
                                                  absl::Duration RunTime) {
  std::string Key = fmt::format("slope-{}", this->NextJob++);
  nlohmann::json Json = {
      {"account", Account},
      {"caller", "slopes"},
      {"kind", JobKind},
      {"repeatable", true},
      {"checkpointable", true},
      {"gang_size", 1},
      {"accelerators_per_member", Accelerators},
      {"declared_run_time_ms", absl::ToInt64Milliseconds(RunTime)},
      {"body", TaskBody::make(RunTime, Key)}};
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/jobs";
  Request.Headers.add("Idempotency-Key", Key);
  Request.Body = Json.dump();
  std::vector<Endpoint> Hosts = Bed.callerAddresses();
  auto Answer = this->Http.call(
      Hosts[static_cast<size_t>(this->NextJob) % Hosts.size()], Request);
  if (!Answer.ok())
    return Answer.status();
  nlohmann::json Job = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (Answer->Status >= 300 || !Job.is_object() || !Job.contains("id"))
    return absl::InternalError("expected the id of the submitted job, found: " +
                               Answer->Body);
  return Job.value("id", std::string());
}

absl::Status SlopeSuite::submitJobs(DataCentreTestBed &Bed, int Count,
                                    const std::string &Account,
                                    int Accelerators) {
  for (int I = 0; I < Count; ++I) {
    auto Id = this->submitJob(Bed, Account, Accelerators, LongRunTime);
    if (!Id.ok())
      return Id.status();
  }
  return this->waitUntil(fmt::format("{} jobs running", Count), [&] {
    return this->findPlannerWithJobs(Bed, Count, -1) >= 0;
  });
}

int SlopeSuite::findPlannerWithJobs(DataCentreTestBed &Bed, int Jobs,
                                    int Except) {
  std::vector<Endpoint> Admins = Bed.adminAddresses();
  for (size_t I = 0; I < Admins.size(); ++I) {
    if (static_cast<int>(I) == Except)
      continue;
    auto Status = this->Http.getJson(Admins[I], "/v1/admin/status");
    if (!Status.ok() || !Status->is_object())
      continue;
    if (Status->value("is_planner", false) &&
        Status->value("/queues/jobs_running"_json_pointer, -1) == Jobs)
      return static_cast<int>(I);
  }
  return -1;
}

bool SlopeSuite::allHostsHaveGeneration(DataCentreTestBed &Bed,
                                        int64_t Generation) {
  for (const Endpoint &Admin : Bed.adminAddresses()) {
    auto Status = this->Http.getJson(Admin, "/v1/admin/status");
    if (!Status.ok() || !Status->is_object() ||
        Status->value("generation", int64_t(0)) < Generation)
      return false;
  }
  return true;
}

absl::Status SlopeSuite::measureRunningJobs() {
  constexpr int Step = 20;
  constexpr int Steps = 4;
  DataCentreTestBedSize BedSize;
  BedSize.Workers = 16;
  auto Bed = this->Factory.start(BedSize);
  if (!Bed.ok())
    return Bed.status();
  int Running = 0;
  for (int I = 0; I < Steps; ++I) {
    absl::StatusOr<IdleCost> Cost = this->measureIdleCost(**Bed);
    if (!Cost.ok())
      return Cost.status();
    this->addCost("running jobs", Running, *Cost);
    if (I + 1 == Steps)
      return absl::OkStatus();
    for (int J = 0; J < Step; ++J) {
      auto Id = this->submitJob(**Bed, "large-1", 1, LongRunTime);
      if (!Id.ok())
        return Id.status();
    }
    Running += Step;
    absl::Status Started =
        this->waitUntil(fmt::format("{} jobs running", Running), [&] {
          return this->findPlannerWithJobs(**Bed, Running, -1) >= 0;
        });
    if (!Started.ok())
      return Started;
  }
  return absl::OkStatus();
}

absl::Status SlopeSuite::measureConfiguration(
    const std::string &Size, const std::vector<int> &Values,
    void (*SetSize)(DataCentreTestBedSize &, int)) {
  for (int Value : Values) {
    DataCentreTestBedSize BedSize;
    SetSize(BedSize, Value);
    auto Bed = this->Factory.start(BedSize);
    if (!Bed.ok())
      return Bed.status();
    absl::Duration Longest;
    for (int I = 0; I < ConfigurationChanges; ++I) {
      absl::Time Start = absl::Now();
      absl::StatusOr<int64_t> Generation = (*Bed)->changeConfiguration();
      if (!Generation.ok())
        return Generation.status();
      absl::Status Seen =
          this->waitUntil("configuration in force everywhere", [&] {
            return this->allHostsHaveGeneration(**Bed, *Generation);
          });
      if (!Seen.ok())
        return Seen;
      Longest = std::max(Longest, absl::Now() - Start);
    }
    double Ms = absl::ToDoubleMilliseconds(Longest);
    this->addPoint("longest time until a change is in force", "ms", Size, Value,
                   Ms);
    this->RunOptions.Progress(fmt::format("{} {}: configuration in force after "
                                          "{:.0f} ms",
                                          Value, Size, Ms));
  }
  return absl::OkStatus();
}

absl::Status SlopeSuite::measureRebuild() {
  for (int Jobs : {10, 40, 80, 120}) {
    DataCentreTestBedSize BedSize;
    BedSize.Hosts = 3;
    BedSize.Workers = 16;
    auto Bed = this->Factory.start(BedSize);
    if (!Bed.ok())
      return Bed.status();
    absl::Status Started = this->submitJobs(**Bed, Jobs, "large-1", 1);
    if (!Started.ok())
      return Started;
    int Planner = this->findPlannerWithJobs(**Bed, Jobs, -1);
    if (Planner < 0)
      return absl::InternalError(
          "the planner changed before the test killed it");
    absl::Time Start = absl::Now();
    absl::Status Killed = (*Bed)->killHost(static_cast<size_t>(Planner));
    if (!Killed.ok())
      return Killed;
    absl::Status Rebuilt =
        this->waitUntil(fmt::format("state of {} jobs rebuilt", Jobs), [&] {
          return this->findPlannerWithJobs(**Bed, Jobs, Planner) >= 0;
        });
    if (!Rebuilt.ok())
      return Rebuilt;
    double Seconds = absl::ToDoubleSeconds(absl::Now() - Start);
    this->addPoint("planner killed until state rebuilt", "s", "running jobs",
                   Jobs, Seconds);
    this->RunOptions.Progress(
        fmt::format("{} jobs: rebuilt after {:.2f} s", Jobs, Seconds));
  }
  return absl::OkStatus();
}

absl::Status SlopeSuite::measureReclaim() {
  for (int WorkerCount : {1, 2, 4, 8}) {
    DataCentreTestBedSize BedSize;
    BedSize.Workers = 8;
    BedSize.GuaranteedWorkers = WorkerCount;
    auto Bed = this->Factory.start(BedSize);
    if (!Bed.ok())
      return Bed.status();
    absl::Status Borrowed = this->submitJobs(**Bed, BedSize.Workers, "small-1",
                                             AcceleratorsPerWorker);
    if (!Borrowed.ok())
      return Borrowed;
    absl::Time Start = absl::Now();
    std::vector<std::string> Ids;
    for (int I = 0; I < WorkerCount; ++I) {
      auto Id =
          this->submitJob(**Bed, "large-1", AcceleratorsPerWorker, LongRunTime);
      if (!Id.ok())
        return Id.status();
      Ids.push_back(*Id);
    }
    auto IsPlaced = [&](const std::string &Id) {
      auto Job = this->Http.getJson((*Bed)->callerAddresses().front(),
                                    "/v1/jobs/" + Id);
      return Job.ok() && Job->value("state", std::string()) == "placed";
    };
    absl::Status Reclaimed = this->waitUntil(
        fmt::format("{} guaranteed workers reclaimed", WorkerCount),
        [&] { return std::all_of(Ids.begin(), Ids.end(), IsPlaced); });
    if (!Reclaimed.ok())
      return Reclaimed;
    double Seconds = absl::ToDoubleSeconds(absl::Now() - Start);
    this->addPoint("time to reclaim a guarantee", "s", "whole workers",
                   WorkerCount, Seconds);
    this->RunOptions.Progress(fmt::format(
        "{} workers: reclaimed after {:.2f} s", WorkerCount, Seconds));
  }
  return absl::OkStatus();
}

absl::Status SlopeSuite::run(const std::string &Part) {
  auto ByHosts = [](DataCentreTestBedSize &BedSize, int Value) {
    BedSize.Hosts = Value;
  };
  auto ByWorkers = [](DataCentreTestBedSize &BedSize, int Value) {
    BedSize.Workers = Value;
  };
  auto ByAccounts = [](DataCentreTestBedSize &BedSize, int Value) {
    BedSize.Accounts = Value;
  };
  const std::vector<int> HostCounts = {1, 2, 4, 8};
  const std::vector<int> AccountCounts = {4, 40, 80, 120};
  struct Step {
    const char *Part;
    std::function<absl::Status()> Measure;
  };
  const Step Steps[] = {
      {"costs",
       [&] {
         return this->measureIdle("workers", {8, 24, 48, 96}, ByWorkers);
       }},
      {"costs",
       [&] { return this->measureIdle("hosts", HostCounts, ByHosts); }},
      {"costs",
       [&] {
         return this->measureIdle("client accounts", AccountCounts, ByAccounts);
       }},
      {"costs", [&] { return this->measureRunningJobs(); }},
      {"configuration",
       [&] {
         return this->measureConfiguration("hosts", HostCounts, ByHosts);
       }},
      {"configuration",
       [&] {
         return this->measureConfiguration("client accounts", AccountCounts,
                                           ByAccounts);
       }},
      {"rebuild", [&] { return this->measureRebuild(); }},
      {"reclaim", [&] { return this->measureReclaim(); }},
  };
  absl::Status FirstError = absl::InvalidArgumentError(
      "--part: expected costs, configuration, rebuild, reclaim or all, found " +
      Part);
  bool HasRun = false;
  for (const Step &Each : Steps) {
    if (Part != "all" && Part != Each.Part)
      continue;
    if (!std::exchange(HasRun, true))
      FirstError = absl::OkStatus();
    absl::Status Result = Each.Measure();
    if (!Result.ok())
      this->RunOptions.Progress(
          fmt::format("{} failed: {}", Each.Part, stdView(Result.message())));
    FirstError.Update(Result);
  }
  return FirstError;
}

} // namespace vanillayard
