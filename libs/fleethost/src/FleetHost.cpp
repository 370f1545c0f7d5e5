#include "fleethost/FleetHost.h"

#include "ServerLimits.h"
#include "control/LeaderRole.h"
#include "control/LeaderTask.h"
#include "control/QueueJobService.h"
#include "fleet/QueueTable.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/ProcessUsage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <utility>

namespace vanillayard {

/// Time to live of the leader's lease. A takeover takes about as long. It must
/// be well below the workers' leases, so that running tasks survive a takeover.
static constexpr absl::Duration LeaderTimeToLive = absl::Milliseconds(2500);
/// Wait of a candidate with a whole CPU core before it runs for a vacant
/// leader role. The wait is divided by the host's share of a core.
static constexpr absl::Duration BaseCandidateDelay = absl::Milliseconds(20);
static constexpr double MinCpuShare = 0.05;
/// Upper bound of a host's own part of that wait, by which hosts with equal
/// shares differ.
static constexpr absl::Duration CandidateSpread = absl::Milliseconds(60);
/// How long a leader that the store does not confirm keeps its state, so that
/// it can go on after an outage if no other host has led. It extends leases
/// only at the beginning of that time.
static constexpr absl::Duration MaxUnconfirmedRole = absl::Seconds(20);
/// Time until the load balancer stops sending connections to a host that is
/// not ready: it checks every second and stops after two failed checks.
static constexpr absl::Duration BalancerDetectionTime =
    absl::Milliseconds(2600);
/// Part of the grace period that is reserved for the exit of the process.
static constexpr absl::Duration ExitReserve = absl::Milliseconds(700);
static constexpr absl::Duration DrainPollInterval = absl::Milliseconds(50);
/// Largest request body that the server for callers reads, also if the
/// configuration allows a larger one.
static constexpr size_t MaxBodyBytes = 1 << 20;

static FleetHostOptions withCappedWorkerLease(FleetHostOptions Options) {
  Options.Leader.WorkerLease =
      std::min(Options.Leader.WorkerLease, Options.MaxWorkerLease);
  Options.Leader.LongestWorkerLease = Options.MaxWorkerLease;
  return Options;
}

static absl::Duration candidateDelay(const FleetHostOptions &Options) {
  constexpr size_t Steps = 64;
  size_t Step = std::hash<HostId>()(Options.Host) % Steps;
  return BaseCandidateDelay / std::max(Options.CpuShare, MinCpuShare) +
         CandidateSpread * static_cast<double>(Step) / Steps;
}

class FleetHost::Impl {
public:
  Impl(const Ports &Adapters, FleetHostOptions Given, std::string Key,
       ConfigurationWatcher::Decoder Decode)
      : Adapters(Adapters), Options(withCappedWorkerLease(std::move(Given))),
        Watcher(Adapters.Loop, Adapters.Store, Adapters.Events, std::move(Key),
                std::move(Decode)),
        QueueJobs(Adapters.Loop, Adapters.Store, Adapters.Events,
                  Adapters.MetricRegistry),
        Leader(Adapters.Loop, Adapters.Store, Adapters.Gateway,
               Adapters.Directory, Options.Leader, Adapters.Events,
               Adapters.MetricRegistry),
        Role(LeaderRole::Builder(Adapters.Loop, Adapters.Store, Adapters.Clock,
                                 Adapters.Events)
                 .host(Options.Host)
                 .listener(this->Leader)
                 .timeToLive(LeaderTimeToLive)
                 .maxUnconfirmed(MaxUnconfirmedRole)
                 .candidateDelay(candidateDelay(Options))
                 .build()) {
    this->Leader.setRole(*this->Role);
  }

  absl::Status listen(const HandlerFactory &MakeHandler);
  void answerReady(std::shared_ptr<HttpResponder> Responder) const;
  void answerMetrics(std::shared_ptr<HttpResponder> Responder);
  void setGauge(const std::string &Name, const std::string &Help, double Value,
                Metrics::Labels By = {});
  void setConfigurationGauges();
  void setProcessGauges();
  void setServerGauges();
  void connectionClosedByLimit(const char *Server, std::string_view Limit,
                               uint32_t Client);
  void finishDrain(absl::Time DrainDeadline, std::function<void()> Done);

  Ports Adapters;
  FleetHostOptions Options;
  ConfigurationWatcher Watcher;
  QueueJobService QueueJobs;
  LeaderTask Leader;
  std::unique_ptr<LeaderRole> Role;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  bool IsShuttingDown = false;
};

absl::Status FleetHost::Impl::listen(const HandlerFactory &MakeHandler) {
  auto Listen = [this](const Endpoint &Address, const char *Name,
                       const ConnectionLimits &Limits, size_t MaxBody,
                       HttpHandler Handler,
                       std::unique_ptr<HttpServer> &Server) -> absl::Status {
    absl::StatusOr<std::unique_ptr<HttpServer>> Made =
        HttpServer::Builder(this->Adapters.Loop)
            .address(Address)
            .maxBodyBytes(MaxBody)
            .limits(Limits)
            .allowHttp2(false)
            .onLimit([this, Name](std::string_view Limit, uint32_t Client) {
              this->connectionClosedByLimit(Name, Limit, Client);
            })
            .requestTimeout(FleetConfiguration().HeaderTimeout)
            .idleTimeout(FleetConfiguration().IdleTimeout)
            .handler(std::move(Handler))
            .build();
    if (!Made.ok())
      return Made.status();
    Server = *std::move(Made);
    return absl::OkStatus();
  };
  absl::Status Status =
      Listen(Options.CallerAddress, "callers", callerServerLimits(Options),
             FleetConfiguration().MaxBodyBytes, MakeHandler(this->QueueJobs),
             this->CallerServer);
  if (Status.ok())
    Status = Listen(
        Options.ReadyAddress, "ready", controlServerLimits(),
        MaxControlBodyBytes,
        [this](HttpRequest, std::shared_ptr<HttpResponder> Responder) {
          this->answerReady(std::move(Responder));
        },
        this->ReadyServer);
  if (Status.ok() && !Options.MetricsAddress.empty())
    Status = Listen(
        Options.MetricsAddress, "metrics", controlServerLimits(),
        MaxControlBodyBytes,
        [this](HttpRequest, std::shared_ptr<HttpResponder> Responder) {
          this->answerMetrics(std::move(Responder));
        },
        this->MetricsServer);
  return Status;
}

void FleetHost::Impl::connectionClosedByLimit(const char *Server,
                                              std::string_view Limit,
                                              uint32_t Client) {
  this->Adapters.MetricRegistry
      .counter("vanillayard_connections_closed_total",
               "connections closed to keep a limit, by server and limit",
               {{"server", Server}, {"limit", std::string(Limit)}})
      .add();
  char Text[INET_ADDRSTRLEN] = "";
  in_addr Address = {Client};
  ::inet_ntop(AF_INET, &Address, Text, sizeof(Text));
  this->Adapters.Events.write(
      LogLevel::Warning, "host", "a connection is closed to keep a limit",
      {{"server", Server}, {"limit", Limit}, {"client", std::string(Text)}},
      fmt::format("limit: {} {}", Server, Limit));
}

void FleetHost::Impl::setServerGauges() {
  HttpServer::Usage Usage = this->CallerServer->usage();
  ConnectionLimits Limits = callerServerLimits(this->Options);
  this->setGauge("vanillayard_caller_connections",
                 "open connections of callers",
                 static_cast<double>(Usage.Connections));
  this->setGauge("vanillayard_caller_connections_limit",
                 "maximum number of open connections of callers",
                 static_cast<double>(Limits.MaxConnections));
  this->setGauge("vanillayard_caller_input_bytes",
                 "memory of callers' requests in progress",
                 static_cast<double>(Usage.InputBytes));
  this->setGauge("vanillayard_caller_input_bytes_limit",
                 "maximum memory of callers' requests in progress",
                 static_cast<double>(Limits.MaxInputBytes));
}

void FleetHost::Impl::answerReady(
    std::shared_ptr<HttpResponder> Responder) const {
  bool IsReady = this->QueueJobs.hasConfiguration() && !this->IsShuttingDown;
  Responder->respond({IsReady ? 200 : 503, {}, ""});
}

void FleetHost::Impl::setGauge(const std::string &Name, const std::string &Help,
                               double Value, Metrics::Labels By) {
  this->Adapters.MetricRegistry.gauge(Name, Help, std::move(By)).set(Value);
}

void FleetHost::Impl::setConfigurationGauges() {
  if (auto Current = this->Watcher.current())
    this->setGauge("vanillayard_configuration_version",
                   "version of the configuration in force",
                   static_cast<double>(Current->configuration().Version));
  absl::Duration Age = this->Adapters.Loop.now() - this->Watcher.confirmedAt();
  if (Age < absl::InfiniteDuration())
    this->setGauge("vanillayard_configuration_confirmed_seconds",
                   "time since the store last confirmed the configuration",
                   absl::ToDoubleSeconds(Age));
}

void FleetHost::Impl::setProcessGauges() {
  ProcessUsage Usage = ProcessUsage::read();
  if (Usage.ResidentBytes)
    this->setGauge("process_resident_memory_bytes", "memory of the process",
                   static_cast<double>(*Usage.ResidentBytes));
  if (Usage.OpenDescriptors)
    this->setGauge("process_open_fds", "open file descriptors of the process",
                   static_cast<double>(*Usage.OpenDescriptors));
}

void FleetHost::Impl::answerMetrics(std::shared_ptr<HttpResponder> Responder) {
  this->setGauge("vanillayard_leader", "1 while this host is the leader",
                 this->Role->isLeader() ? 1 : 0);
  this->setGauge("vanillayard_jobs", "unfinished jobs of the leader",
                 static_cast<double>(this->Leader.jobCount()));
  this->setGauge("vanillayard_workers", "workers that the leader drives",
                 static_cast<double>(this->Leader.workerCount()));
  for (const auto &[Queue, Count] : this->Leader.waitingJobsByQueue())
    this->setGauge("vanillayard_waiting_jobs",
                   "jobs without a schedule that have not started, by queue",
                   static_cast<double>(Count), {{"queue", Queue}});
  std::map<WaitReason, int64_t> Waiting = this->Leader.waitingTasksByReason();
  for (WaitReason Reason :
       {WaitReason::Reports, WaitReason::Headroom, WaitReason::Locality,
        WaitReason::Room, WaitReason::Evacuation})
    this->setGauge("vanillayard_waiting_tasks",
                   "ready tasks without a run, by reason",
                   static_cast<double>(Waiting[Reason]),
                   {{"reason", std::string(WaitReasonNames.nameOf(Reason))}});
  EvacuationUse Evacuated = this->Leader.evacuationUse();
  this->setGauge("vanillayard_evacuated_data_centres",
                 "data centres that are being evacuated, on the leader",
                 static_cast<double>(Evacuated.DataCentres));
  this->setGauge("vanillayard_evacuated_runs",
                 "runs left in evacuated data centres, on the leader",
                 static_cast<double>(Evacuated.Runs));
  for (const RunTimeModel::QueueError &Error : this->Leader.runTimeErrors()) {
    auto Set = [&](const char *Of, double Value) {
      this->setGauge("vanillayard_run_time_error",
                     "mean error of run times as the logarithm of a factor, on "
                     "the leader, by queue, of estimates and of predictions",
                     Value, {{"queue", Error.Queue}, {"of", Of}});
    };
    Set("estimates", Error.OfEstimates);
    Set("predictions", Error.OfModel);
  }
  this->setGauge("vanillayard_slow_workers",
                 "workers that are known to be slow, on the leader",
                 static_cast<double>(this->Leader.slowWorkerCount()));
  this->setConfigurationGauges();
  this->setProcessGauges();
  this->setServerGauges();
  HttpResponse Answer;
  Answer.Headers.add("Content-Type", "text/plain; version=0.0.4");
  Answer.Body = this->Adapters.MetricRegistry.exposition();
  Responder->respond(std::move(Answer));
}

void FleetHost::Impl::finishDrain(absl::Time DrainDeadline,
                                  std::function<void()> Done) {
  size_t OpenRequests = this->CallerServer->requestsInProgress();
  if (OpenRequests == 0 || this->Adapters.Loop.now() >= DrainDeadline) {
    this->Adapters.Events.info("host", "stopped",
                               {{"unanswered", OpenRequests}});
    return Done();
  }
  this->Adapters.Loop.runAfter(DrainPollInterval, [this, DrainDeadline, Done] {
    this->finishDrain(DrainDeadline, Done);
  });
}

FleetHost::FleetHost(const Ports &Adapters, FleetHostOptions Options,
                     std::string ConfigurationKey,
                     ConfigurationWatcher::Decoder DecodeConfiguration)
    : Implementation(std::make_unique<Impl>(Adapters, std::move(Options),
                                            std::move(ConfigurationKey),
                                            std::move(DecodeConfiguration))) {}

FleetHost::~FleetHost() = default;

absl::Status FleetHost::start(const HandlerFactory &MakeHandler) {
  Impl &I = *this->Implementation;
  if (absl::Status Status = I.listen(MakeHandler); !Status.ok())
    return Status;
  I.Adapters.Events.info("host", "started",
                         {{"host", I.Options.Host},
                          {"callers", this->callerAddress()},
                          {"ready", this->readyAddress()}});
  I.Watcher.start([&I](std::shared_ptr<const QueueTable> Newer) {
    I.CallerServer->setMaxBodyBytes(
        std::min(Newer->configuration().MaxBodyBytes, MaxBodyBytes));
    I.QueueJobs.configurationChanged(Newer);
    I.Leader.configurationChanged(std::move(Newer));
  });
  I.Role->start();
  return absl::OkStatus();
}

Endpoint FleetHost::callerAddress() const {
  return this->Implementation->CallerServer->address();
}

Endpoint FleetHost::readyAddress() const {
  return this->Implementation->ReadyServer->address();
}

bool FleetHost::isReady() const {
  const Impl &I = *this->Implementation;
  return I.QueueJobs.hasConfiguration() && !I.IsShuttingDown;
}

void FleetHost::shutDown(std::function<void()> Done) {
  Impl &I = *this->Implementation;
  if (std::exchange(I.IsShuttingDown, true))
    return;
  I.Adapters.Events.info("host", "shutting down", {});
  absl::Time DrainDeadline =
      I.Adapters.Loop.now() + I.Options.GracePeriod - ExitReserve;
  I.Role->resign([] {});
  absl::Duration AcceptTime =
      std::min(BalancerDetectionTime, I.Options.GracePeriod / 2);
  I.Adapters.Loop.runAfter(AcceptTime,
                           [&I, DrainDeadline, Done = std::move(Done)] {
                             I.CallerServer->stopAccepting();
                             I.finishDrain(DrainDeadline, Done);
                           });
}

} // namespace vanillayard
