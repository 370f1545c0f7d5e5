#ifndef VANILLAYARD_DAEMON_SRC_DAEMONIMPL_H
#define VANILLAYARD_DAEMON_SRC_DAEMONIMPL_H

#include "daemon/Daemon.h"

#include "AdminApi.h"
#include "PeerConfigurationSource.h"
#include "PeerRouter.h"
#include "config/Settings.h"
#include "configsync/ConfigurationTask.h"
#include "daemon/JobApi.h"
#include "daemon/PeerForwarder.h"
#include "daemon/PeerPlannerClient.h"
#include "daemon/RequestApi.h"
#include "daemon/WorkerMonitor.h"
#include "endpoint/HttpWorkerClient.h"
#include "jobs/JobService.h"
#include "jobs/PlannerTask.h"
#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "observe/HybridLogicalClock.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/Timeline.h"
#include "observe/WarningCenter.h"
#include "peer/Membership.h"
#include "peer/TcpPeerTransport.h"
#include "policy/SlotShare.h"
#include "requests/RequestTask.h"
#include "store/EtcdStore.h"
#include "store/HttpHostDirectory.h"

#include <set>

namespace vanillayard {

class Daemon::Impl {
public:
  Impl(LoopExecutor &Loop, const Settings &Options);
  ~Impl();

  absl::Status build();
  void shutDown(std::function<void()> Done);

  absl::Status buildPeers();
  absl::Status buildRequestTask();
  absl::Status buildJobs();
  absl::Status buildWorkers();
  absl::Status buildServers();
  void buildConfiguration();

  void configurationChanged();
  void workerChanged(const WorkerView &View);
  void stopPublishing(const WorkerId &Id);
  void plannerRoleChanged(bool IsPlanner);
  void recordJobEvent(std::string_view Name, const JobRecord &Job);
  void handleCaller(const HttpRequest &Request,
                    const std::shared_ptr<HttpResponder> &Responder);
  /// Runs the periodic work and restarts its timer: the host list, worker
  /// ownership, the planner's workers, peer loads, the slot share, warnings
  /// and the end of a shutdown.
  void tick();
  void fetchHostList();
  void reportLoad();
  void updateSlotShare();
  void updatePlannerWorkers();
  void checkWarnings();
  void finishShutdown();
  bool isReady() const;

  LoopExecutor &Loop;
  Settings Options;
  int64_t Incarnation;
  Log Output;
  Metrics Registry;
  HybridLogicalClock Clock;
  Timeline Events;
  WarningCenter Warnings;
  H2oHttpClient Http;
  EtcdStore Store;
  HttpHostDirectory Directory;
  HttpWorkerClient WorkerClient;
  std::unique_ptr<TcpPeerTransport> Transport;
  std::unique_ptr<Membership> Peers;
  std::unique_ptr<PeerConfigurationSource> ConfigSource;
  std::unique_ptr<ConfigurationTask> Config;
  std::unique_ptr<PeerForwarder> Forwarder;
  std::unique_ptr<RequestTask> Requests;
  std::unique_ptr<PlannerTask> Planner;
  std::unique_ptr<PeerPlannerClient> PlannerClient;
  std::unique_ptr<JobService> Jobs;
  std::unique_ptr<WorkerMonitor> Monitor;
  std::unique_ptr<PeerRouter> Router;
  std::unique_ptr<RequestApi> RequestHandler;
  std::unique_ptr<JobApi> JobHandler;
  std::unique_ptr<AdminApi> AdminHandler;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> AdminServer;

  std::shared_ptr<const Configuration> ConfigInForce;
  std::set<WorkerId> PublishedWorkers;
  SlotShare Share;
  bool PlannerWorkersChanged = false;
  bool IsLeaving = false;
  bool RequestsIdle = false;
  absl::Time ShutdownDeadline = absl::InfiniteFuture();
  absl::Time HostListFetchTime = absl::InfinitePast();
  absl::Time NextHostListFetch = absl::InfinitePast();
  bool HostListInFlight = false;
  Executor::TimerId TickTimer = 0;
  std::vector<std::function<void()>> ShutdownCallbacks;
};

} // namespace vanillayard

#endif
