#include "daemon/Daemon.h"

#include "DaemonImpl.h"

#include "base/Rendezvous.h"

namespace vanillayard {

Daemon::Daemon(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

Daemon::~Daemon() = default;

absl::StatusOr<std::unique_ptr<Daemon>>
Daemon::create(LoopExecutor &Loop, const Settings &Options) {
  auto Implementation = std::make_unique<Impl>(Loop, Options);
  absl::Status Status = Implementation->build();
  if (!Status.ok())
    return Status;
  return std::unique_ptr<Daemon>(new Daemon(std::move(Implementation)));
}

Endpoint Daemon::callerAddress() const {
  return this->Implementation->CallerServer->address();
}

Endpoint Daemon::adminAddress() const {
  return this->Implementation->AdminServer->address();
}

Endpoint Daemon::peerAddress() const {
  return this->Implementation->Transport->address();
}

void Daemon::shutDown(std::function<void()> Done) {
  this->Implementation->shutDown(std::move(Done));
}

Daemon::Impl::Impl(LoopExecutor &Loop, const Settings &Options)
    : Loop(Loop), Options(Options), Incarnation(absl::ToUnixMicros(Loop.now())),
      Output(Loop), Clock(Loop), Events(Options.Host, this->Clock),
      Warnings(Loop,
               [this](const Warning &Raised) {
                 const WarningRule &Rule = warningRuleFor(Raised.Key.Condition);
                 this->Output.warning("warnings", Rule.Name,
                                      {{"subject", Raised.Key.Subject},
                                       {"detail", Raised.Detail},
                                       {"action", Rule.Action}});
               }),
      Http(Loop), Store(this->Http, Loop, Options.PlatformKeyValue,
                        Options.PlatformTimeout),
      Directory(this->Http, Options.PlatformHostList, Options.PlatformTimeout),
      WorkerClient(this->Http, Loop) {}

Daemon::Impl::~Impl() {
  this->Loop.cancel(this->TickTimer);
}

absl::Status Daemon::Impl::build() {
  this->Output.setMinimumLevel(this->Options.MinimumLogLevel);
  for (auto Step : {&Impl::buildPeers, &Impl::buildRequestTask,
                    &Impl::buildJobs, &Impl::buildWorkers}) {
    absl::Status Status = (this->*Step)();
    if (!Status.ok())
      return Status;
  }
  this->buildConfiguration();
  this->Router = std::make_unique<PeerRouter>(PeerRouter::Dependencies{
      this->Loop, *this->Peers, *this->Requests, *this->Planner, *this->Monitor,
      this->Warnings, *this->Config, this->Options.DataCentre,
      [this](bool IsPlanner) { this->plannerRoleChanged(IsPlanner); }});
  absl::Status Status = this->buildServers();
  if (!Status.ok())
    return Status;
  this->Peers->start();
  this->Config->start();
  this->tick();
  this->Output.info("daemon", "started",
                    {{"host", this->Options.Host},
                     {"data_centre", this->Options.DataCentre},
                     {"callers", this->CallerServer->address()},
                     {"admin", this->AdminServer->address()},
                     {"peers", this->Transport->address()}});
  this->Events.record("started", "daemon", this->Options.Host.str());
  return absl::OkStatus();
}

absl::Status Daemon::Impl::buildPeers() {
  auto Links = TcpPeerTransport::Builder(this->Loop)
                   .listen(this->Options.PeerListen)
                   .announce(this->Options.PeerAdvertise)
                   .log(&this->Output)
                   .build();
  if (!Links.ok())
    return Links.status();
  this->Transport = *std::move(Links);
  auto Members = Membership::Builder(this->Loop, *this->Transport, this->Clock)
                     .host(this->Options.Host)
                     .dataCentre(this->Options.DataCentre)
                     .address(this->Transport->address())
                     .incarnation(this->Incarnation)
                     .seeds(this->Options.SeedPeers)
                     .directory(&this->Directory)
                     .log(&this->Output)
                     .metrics(&this->Registry)
                     .build();
  if (!Members.ok())
    return Members.status();
  this->Peers = *std::move(Members);
  this->Forwarder = std::make_unique<PeerForwarder>(this->Loop, *this->Peers,
                                                    this->Options.DataCentre);
  return absl::OkStatus();
}

absl::Status Daemon::Impl::buildRequestTask() {
  const Settings &S = this->Options;
  bool IsFifo = S.Queue == QueueChoice::Fifo;
  bool IsRandom = S.WorkerSelection == WorkerSelectionChoice::Random;
  bool IsUnlimited = S.Retry == RetryChoice::Unlimited;
  auto Built =
      RequestTask::Builder(this->Loop, this->Store, this->WorkerClient)
          .host(S.Host)
          .dataCentre(S.DataCentre)
          .forwarder(this->Forwarder.get())
          .seed(stableHash(S.Host.str()))
          .storeTimeout(S.PlatformTimeout)
          .queueOrder(IsFifo ? QueueOrder::Fifo : QueueOrder::WeightedFair)
          .workerChoice(IsRandom ? WorkerChoice::Random
                                 : WorkerChoice::PowerOfTwo)
          .retryControl(IsUnlimited ? RetryControl::Unlimited
                                    : RetryControl::Budget)
          .build();
  if (!Built.ok())
    return Built.status();
  this->Requests = *std::move(Built);
  this->RequestHandler = std::make_unique<RequestApi>(
      this->Loop, *this->Requests, S.Host, this->Incarnation);
  return absl::OkStatus();
}

absl::Status Daemon::Impl::buildJobs() {
  auto Built =
      PlannerTask::Builder(this->Loop, this->Store, this->WorkerClient)
          .host(this->Options.Host)
          .dataCentre(this->Options.DataCentre)
          .leaseTtl(this->Options.LeaseTtl)
          .placement(this->Options.Placement)
          .onEvent([this](std::string_view Name, const JobRecord &Job) {
            this->recordJobEvent(Name, Job);
          })
          .build();
  if (!Built.ok())
    return Built.status();
  this->Planner = *std::move(Built);
  this->PlannerClient = std::make_unique<PeerPlannerClient>(
      this->Loop, *this->Peers, *this->Planner, this->Options.DataCentre);
  this->Jobs = std::make_unique<JobService>(
      this->Loop, this->Store, *this->PlannerClient, this->Options.DataCentre,
      [this] { return this->ConfigInForce; });
  this->JobHandler = std::make_unique<JobApi>(
      *this->Jobs, *this->PlannerClient, this->Options.Host, this->Incarnation);
  return absl::OkStatus();
}

absl::Status Daemon::Impl::buildWorkers() {
  auto Built = WorkerMonitor::Builder(this->Loop, this->WorkerClient)
                   .dataCentre(this->Options.DataCentre)
                   .minInterval(this->Options.PollInterval)
                   .bytesPerSecond(this->Options.ControlBytesPerSecond)
                   .owns([this](const WorkerId &Id) {
                     return this->Peers->isPollingHost(Id);
                   })
                   .onChange([this](const WorkerView &View) {
                     this->workerChanged(View);
                   })
                   .onRemove([this](const WorkerId &Id) {
                     this->Requests->removeWorker(Id);
                     this->stopPublishing(Id);
                     this->PublishedWorkers.erase(Id);
                     this->PlannerWorkersChanged = true;
                   })
                   .build();
  if (!Built.ok())
    return Built.status();
  this->Monitor = *std::move(Built);
  return absl::OkStatus();
}

void Daemon::Impl::buildConfiguration() {
  this->ConfigSource = std::make_unique<PeerConfigurationSource>(*this->Peers);
  this->Config = std::make_unique<ConfigurationTask>(
      this->Loop, this->Store, *this->ConfigSource,
      [this] { this->configurationChanged(); });
}

absl::Status Daemon::Impl::buildServers() {
  auto Callers =
      HttpServer::Builder(this->Loop)
          .address(this->Options.CallerListen)
          .maxBodyBytes(static_cast<size_t>(this->Options.MaxBodyBytes))
          .requestTimeout(this->Options.RequestTimeout)
          .handler([this](HttpRequest Request,
                          std::shared_ptr<HttpResponder> Responder) {
            this->handleCaller(Request, Responder);
          })
          .build();
  if (!Callers.ok())
    return Callers.status();
  this->CallerServer = *std::move(Callers);
  this->AdminHandler = std::make_unique<AdminApi>(*this);
  auto Admin = HttpServer::Builder(this->Loop)
                   .address(this->Options.AdminListen)
                   .handler([this](HttpRequest Request,
                                   std::shared_ptr<HttpResponder> Responder) {
                     this->AdminHandler->handle(Request, Responder);
                   })
                   .build();
  if (!Admin.ok())
    return Admin.status();
  this->AdminServer = *std::move(Admin);
  return absl::OkStatus();
}

void Daemon::Impl::handleCaller(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponder> &Responder) {
  if (Request.Path == "/healthz")
    return Responder->respond({this->isReady() ? 200 : 503,
                               {},
                               this->isReady() ? "ready\n" : "not ready\n"});
  if (Request.Path == "/v1/requests" && Request.Method == "POST")
    return this->RequestHandler->handle(Request, Responder);
  this->JobHandler->handle(Request, Responder);
}

} // namespace vanillayard
