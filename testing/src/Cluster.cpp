#include "testing/Cluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

static constexpr absl::Duration StartLimit = absl::Seconds(60);
static constexpr absl::Duration StopLimit = absl::Seconds(60);
static constexpr absl::Duration HealthInterval = absl::Milliseconds(20);
static constexpr absl::Duration HealthTimeout = absl::Seconds(5);
static constexpr size_t ListenersPerHost = 3;

Cluster::~Cluster() = default;

static int countForDataCentre(int DataCentre,
                              const std::vector<int> &ByDataCentre,
                              int Default) {
  auto Index = static_cast<size_t>(DataCentre - 1);
  return Index < ByDataCentre.size() ? ByDataCentre[Index] : Default;
}

absl::Status Cluster::startAll() {
  if (absl::Status Started = this->startPlatform(); !Started.ok())
    return Started;
  if (absl::Status Written = this->putConfiguration(); !Written.ok())
    return Written;
  for (int I = 1; I <= this->Options.DataCentres; ++I) {
    DataCentreId DataCentre(fmt::format("dc{}", I));
    int Workers = countForDataCentre(I, this->Options.WorkersByDataCentre,
                                     this->Options.WorkersPerDataCentre);
    int EntryHosts = countForDataCentre(I, this->Options.HostsByDataCentre,
                                        this->Options.HostsPerDataCentre);
    if (absl::Status Started = this->startWorkers(DataCentre, Workers);
        !Started.ok())
      return Started;
    for (int H = 1; H <= EntryHosts; ++H) {
      EntryHostNode Host;
      Host.Name = HostId(fmt::format("dc{}-entry{}", I, H));
      Host.DataCentre = DataCentre;
      this->Hosts.push_back(std::move(Host));
    }
  }
  if (absl::Status Published = this->publishHosts(); !Published.ok())
    return Published;
  for (size_t I = 0; I < this->Hosts.size(); ++I)
    if (absl::Status Started = this->startHost(I); !Started.ok())
      return Started;
  for (size_t I = 0; I < this->Hosts.size(); ++I)
    if (absl::Status Ready = this->waitReady(I); !Ready.ok())
      return Ready;
  return absl::OkStatus();
}

absl::Status Cluster::startPlatform() {
  auto Started = Process::start(Process::program("standin-platform"), {},
                                this->Folder.file("platform.log"));
  if (!Started.ok())
    return Started.status();
  this->PlatformProcess = std::move(*Started);
  auto Addresses = this->PlatformProcess->waitForListening(1, StartLimit);
  if (!Addresses.ok())
    return Addresses.status();
  this->Platform = Addresses->front().Address;
  return absl::OkStatus();
}

absl::Status Cluster::startWorkers(const DataCentreId &DataCentre, int Total) {
  int PerProcess = this->Options.WorkersPerProcess > 0
                       ? this->Options.WorkersPerProcess
                       : Total;
  for (int First = 0; First < Total; First += PerProcess) {
    absl::Status Started = this->startWorkerProcess(
        DataCentre, First, std::min(PerProcess, Total - First));
    if (!Started.ok())
      return Started;
  }
  return absl::OkStatus();
}

absl::Status Cluster::startWorkerProcess(const DataCentreId &DataCentre,
                                         int First, int Count) {
  size_t Index = this->WorkerProcesses.size();
  auto Started = Process::start(
      Process::program("standin-worker"),
      {fmt::format("--name={}-w", DataCentre.str()),
       fmt::format("--rack={}-r", DataCentre.str()),
       fmt::format("--first={}", First), fmt::format("--workers={}", Count),
       fmt::format("--workers_per_rack={}", this->Options.WorkersPerRack)},
      this->Folder.file(fmt::format("workers{}.log", Index)));
  if (!Started.ok())
    return Started.status();
  this->WorkerProcesses.push_back(std::move(*Started));
  auto Addresses = this->WorkerProcesses.back()->waitForListening(
      static_cast<size_t>(Count), StartLimit);
  if (!Addresses.ok())
    return Addresses.status();
  for (const ListeningAddress &Listener : *Addresses) {
    int Number = First + static_cast<int>(&Listener - Addresses->data());
    WorkerNode Worker;
    Worker.Name = WorkerId(Listener.Name);
    Worker.DataCentre = DataCentre;
    Worker.Rack = RackId(fmt::format(
        "{}-r{}", DataCentre.str(), Number / this->Options.WorkersPerRack + 1));
    Worker.Address = Listener.Address;
    Worker.ProcessIndex = Index;
    this->Workers.push_back(std::move(Worker));
  }
  return absl::OkStatus();
}

absl::Status Cluster::startHost(size_t Index) {
  EntryHostNode &Host = this->Hosts[Index];
  absl::StatusOr<std::string> File = this->writeSettings(Host);
  if (!File.ok())
    return File.status();
  std::string Log = this->Folder.file(
      fmt::format("{}-{}.log", Host.Name.str(), ++Host.Starts));
  auto Started = Process::start(Process::program("vanillayardd"),
                                {"--settings=" + *File}, Log);
  if (!Started.ok())
    return Started.status();
  Host.Running = std::move(*Started);
  Process &Running = *Host.Running;
  this->Http.runUntil(
      [&] {
        return Running.listeningAddresses().size() >= ListenersPerHost ||
               Running.exitCode();
      },
      StartLimit);
  auto Addresses = Running.waitForListening(ListenersPerHost, StartLimit);
  if (!Addresses.ok())
    return Addresses.status();
  for (const ListeningAddress &Listener : *Addresses) {
    if (Listener.Name == "caller")
      Host.Caller = Listener.Address;
    else if (Listener.Name == "admin")
      Host.Admin = Listener.Address;
    else if (Listener.Name == "peer")
      Host.PeerAddress = Listener.Address;
  }
  return this->publishHosts();
}

absl::Status Cluster::stopHost(size_t Index) {
  EntryHostNode &Host = this->Hosts[Index];
  Host.Running->terminate();
  this->Http.runUntil([&] { return Host.Running->exitCode().has_value(); },
                      StopLimit);
  std::optional<int> Code = Host.Running->exitCode();
  if (!Code)
    return absl::DeadlineExceededError(
        Host.Name.str() + " has not exited within the limit after SIGTERM");
  if (*Code != 0)
    return absl::UnknownError(
        fmt::format("{} exited with code {} after SIGTERM, expected 0",
                    Host.Name.str(), *Code));
  return absl::OkStatus();
}

absl::Status Cluster::restartHost(size_t Index) {
  if (absl::Status Stopped = this->stopHost(Index); !Stopped.ok())
    return Stopped;
  if (absl::Status Started = this->startHost(Index); !Started.ok())
    return Started;
  return this->waitReady(Index);
}

absl::Status Cluster::waitReady(size_t Index) {
  EntryHostNode &Host = this->Hosts[Index];
  HttpRequest Request;
  Request.Path = "/healthz";
  std::string LastAnswer = "no answer";
  absl::Time End = this->Http.loop().now() + StartLimit;
  while (this->Http.loop().now() < End && Host.isRunning()) {
    auto Response = this->Http.call(Host.Caller, Request, HealthTimeout);
    if (Response.ok() && Response->Status == 200)
      return absl::OkStatus();
    if (Response.ok())
      LastAnswer = fmt::format("{} {}", Response->Status, Response->Body);
    this->Http.runFor(HealthInterval);
  }
  return absl::DeadlineExceededError(
      fmt::format("{} did not become ready, last answer to /healthz: {}",
                  Host.Name.str(), LastAnswer));
}

absl::StatusOr<std::string>
Cluster::runOperatorCommand(std::vector<std::string> Arguments) {
  for (const EntryHostNode &Host : this->Hosts)
    if (Host.isRunning())
      Arguments.push_back("--admin=" + Host.Admin.str());
  return this->runCommand(std::move(Arguments));
}

absl::StatusOr<std::string>
Cluster::runOperatorCommandOn(size_t Host, std::vector<std::string> Arguments) {
  Arguments.push_back("--admin=" + this->Hosts[Host].Admin.str());
  return this->runCommand(std::move(Arguments));
}

absl::StatusOr<std::string>
Cluster::runCommand(std::vector<std::string> Arguments) {
  Arguments.push_back("--platform=" + this->Platform.str());
  auto Started = Process::start(
      Process::program("vanillayard"), Arguments,
      this->Folder.file(fmt::format("command{}.log", ++this->CommandCount)));
  if (!Started.ok())
    return Started.status();
  this->Http.runUntil([&] { return (*Started)->exitCode().has_value(); },
                      StopLimit);
  std::optional<int> Code = (*Started)->exitCode();
  if (Code != 0)
    return absl::UnknownError(fmt::format(
        "vanillayard exited with code {}, expected 0 (-1: still running):\n{}",
        Code.value_or(-1), (*Started)->output()));
  return (*Started)->output();
}

void Cluster::showOutput() const {
  if (this->PlatformProcess)
    this->PlatformProcess->showOutput();
  for (const std::unique_ptr<Process> &Workers : this->WorkerProcesses)
    Workers->showOutput();
  for (const EntryHostNode &Host : this->Hosts)
    if (Host.Running)
      Host.Running->showOutput();
}

} // namespace vanillayard
