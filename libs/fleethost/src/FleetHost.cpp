#include "fleethost/FleetHost.h"

#include "control/CallerDesk.h"
#include "control/LeaderRole.h"
#include "control/LeaderTask.h"
#include "fleet/QueueTable.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/ProcessUsage.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Time to live of the leader's lease. A takeover takes about that long; it
/// must be well below the workers' leases, so that work survives it.
static constexpr absl::Duration LeaderTimeToLive = absl::Milliseconds(2500);
/// A candidate waits this long divided by its share of a core.
static constexpr absl::Duration CandidateDelay = absl::Milliseconds(20);
static constexpr double SmallestCpuShare = 0.05;
/// The load balancer asks each second and stops after two misses.
static constexpr absl::Duration BalancerTime = absl::Milliseconds(2600);
/// Kept back from the grace time for the exit itself.
static constexpr absl::Duration ExitTime = absl::Milliseconds(700);
static constexpr absl::Duration DrainPoll = absl::Milliseconds(50);
/// Largest request that is read at all, above every configured limit.
static constexpr size_t MaxBodyBytes = 1 << 20;

static FleetHostOptions withShortLease(FleetHostOptions Options) {
  Options.Terms.WorkerLease =
      std::min(Options.Terms.WorkerLease, Options.LongestWorkerLease);
  return Options;
}

class FleetHost::Impl {
public:
  Impl(const Ports &Links, FleetHostOptions Given, std::string Key,
       ConfigurationFeed::Decoder Decode)
      : Links(Links), Options(withShortLease(std::move(Given))),
        Feed(Links.Loop, Links.Store, Links.Events, std::move(Key),
             std::move(Decode)),
        Desk(Links.Loop, Links.Store, Links.Events, Links.Figures),
        Leader(Links.Loop, Links.Store, Links.Gateway, Links.Directory,
               Options.Terms, Links.Events, Links.Figures),
        Role(LeaderRole::Builder(Links.Loop, Links.Store, Links.Clock,
                                 Links.Events)
                 .host(Options.Host)
                 .listener(this->Leader)
                 .timeToLive(LeaderTimeToLive)
                 .maxUnconfirmed(Options.Terms.WorkerLease)
                 .candidateDelay(CandidateDelay /
                                 std::max(Options.CpuShare, SmallestCpuShare))
                 .build()) {
    this->Leader.attach(*this->Role);
  }

  absl::Status listen(const HandlerFactory &MakeHandler);
  void answerReady(std::shared_ptr<HttpResponder> Responder) const;
  void answerMetrics(std::shared_ptr<HttpResponder> Responder);
  void setGauge(const std::string &Name, const std::string &Help, double Value,
                Metrics::Labels By = {});
  void setConfigurationGauges();
  void setProcessGauges();
  void finishDrain(absl::Time GiveUpAt, std::function<void()> Done);

  Ports Links;
  FleetHostOptions Options;
  ConfigurationFeed Feed;
  CallerDesk Desk;
  LeaderTask Leader;
  std::unique_ptr<LeaderRole> Role;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  bool IsShuttingDown = false;
};

absl::Status FleetHost::Impl::listen(const HandlerFactory &MakeHandler) {
  auto Listen = [this](const Endpoint &Address, HttpHandler Handler,
                       std::unique_ptr<HttpServer> &Server) -> absl::Status {
    absl::StatusOr<std::unique_ptr<HttpServer>> Made =
        HttpServer::Builder(this->Links.Loop)
            .address(Address)
            .maxBodyBytes(MaxBodyBytes)
            .requestTimeout(FleetConfiguration().HeaderTimeout)
            .idleTimeout(FleetConfiguration().IdleTimeout)
            .handler(std::move(Handler))
            .build();
    if (!Made.ok())
      return Made.status();
    Server = *std::move(Made);
    return absl::OkStatus();
  };
  absl::Status Status = Listen(Options.CallerAddress, MakeHandler(this->Desk),
                               this->CallerServer);
  if (Status.ok())
    Status = Listen(
        Options.ReadyAddress,
        [this](HttpRequest, std::shared_ptr<HttpResponder> Responder) {
          this->answerReady(std::move(Responder));
        },
        this->ReadyServer);
  if (Status.ok() && !Options.MetricsAddress.empty())
    Status = Listen(
        Options.MetricsAddress,
        [this](HttpRequest, std::shared_ptr<HttpResponder> Responder) {
          this->answerMetrics(std::move(Responder));
        },
        this->MetricsServer);
  return Status;
}

void FleetHost::Impl::answerReady(
    std::shared_ptr<HttpResponder> Responder) const {
  bool IsReady = this->Desk.hasConfiguration() && !this->IsShuttingDown;
  Responder->respond({IsReady ? 200 : 503, {}, ""});
}

void FleetHost::Impl::setGauge(const std::string &Name, const std::string &Help,
                               double Value, Metrics::Labels By) {
  this->Links.Figures.gauge(Name, Help, std::move(By)).set(Value);
}

void FleetHost::Impl::setConfigurationGauges() {
  if (auto Current = this->Feed.current())
    this->setGauge("vanillayard_configuration_version",
                   "version of the configuration in force",
                   static_cast<double>(Current->configuration().Version));
  absl::Duration Age = this->Links.Loop.now() - this->Feed.confirmedAt();
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
  for (const auto &[Queue, Count] : this->Leader.waitingByQueue())
    this->setGauge("vanillayard_waiting_jobs",
                   "jobs without a schedule that have not started, by queue",
                   static_cast<double>(Count), {{"queue", Queue}});
  this->setConfigurationGauges();
  this->setProcessGauges();
  HttpResponse Answer;
  Answer.Headers.add("Content-Type", "text/plain; version=0.0.4");
  Answer.Body = this->Links.Figures.exposition();
  Responder->respond(std::move(Answer));
}

void FleetHost::Impl::finishDrain(absl::Time GiveUpAt,
                                  std::function<void()> Done) {
  size_t Open = this->CallerServer->requestsInProgress();
  if (Open == 0 || this->Links.Loop.now() >= GiveUpAt) {
    this->Links.Events.info("host", "stopped", {{"unanswered", Open}});
    return Done();
  }
  this->Links.Loop.runAfter(
      DrainPoll, [this, GiveUpAt, Done] { this->finishDrain(GiveUpAt, Done); });
}

FleetHost::FleetHost(const Ports &Links, FleetHostOptions Options,
                     std::string ConfigurationKey,
                     ConfigurationFeed::Decoder DecodeConfiguration)
    : Implementation(std::make_unique<Impl>(Links, std::move(Options),
                                            std::move(ConfigurationKey),
                                            std::move(DecodeConfiguration))) {}

FleetHost::~FleetHost() = default;

absl::Status FleetHost::start(const HandlerFactory &MakeHandler) {
  Impl &I = *this->Implementation;
  if (absl::Status Status = I.listen(MakeHandler); !Status.ok())
    return Status;
  I.Links.Events.info("host", "started",
                      {{"host", I.Options.Host},
                       {"callers", this->callerAddress()},
                       {"ready", this->readyAddress()}});
  I.Feed.start([&I](std::shared_ptr<const QueueTable> Newer) {
    I.Desk.configurationChanged(Newer);
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
  return I.Desk.hasConfiguration() && !I.IsShuttingDown;
}

void FleetHost::shutDown(std::function<void()> Done) {
  Impl &I = *this->Implementation;
  if (std::exchange(I.IsShuttingDown, true))
    return;
  I.Links.Events.info("host", "shutting down", {});
  absl::Time GiveUpAt = I.Links.Loop.now() + I.Options.Grace - ExitTime;
  I.Role->resign([] {});
  absl::Duration Accepting = std::min(BalancerTime, I.Options.Grace / 2);
  I.Links.Loop.runAfter(Accepting, [&I, GiveUpAt, Done = std::move(Done)] {
    I.CallerServer->stopAccepting();
    I.finishDrain(GiveUpAt, Done);
  });
}

} // namespace vanillayard
