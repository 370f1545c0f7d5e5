#ifndef VANILLAYARD_DAEMON_SRC_PEERROUTER_H
#define VANILLAYARD_DAEMON_SRC_PEERROUTER_H

#include "base/Ids.h"
#include "peer/MembershipListener.h"

#include <functional>

namespace vanillayard {

class ConfigurationTask;
class Executor;
class Membership;
class PlannerTask;
class RequestTask;
class WarningCenter;
class WorkerMonitor;
struct ForwardRequest;
struct JobQuery;

/// Dispatches peer messages and membership changes to the tasks of this host.
class PeerRouter final : public MembershipListener {
public:
  /// The objects that the router uses; all must outlive it.
  struct Dependencies {
    Executor &Exec;
    Membership &Peers;
    RequestTask &Requests;
    PlannerTask &Planner;
    WorkerMonitor &Monitor;
    WarningCenter &Warnings;
    ConfigurationTask &Config;
    DataCentreId DataCentre;
    /// Called when this host gains or loses the planner role.
    std::function<void(bool IsPlanner)> PlannerChanged;
  };

  explicit PeerRouter(Dependencies Deps);
  ~PeerRouter() override;

  void hostChanged(const PeerHost &Host) override;
  void plannerChanged(bool IsPlanner) override;
  void workerViewChanged(const HostId &From, const WorkerView &View) override;
  void newerGenerationSeen(const HostId &From, int64_t Generation) override;
  void warningsChanged(const HostId &From,
                       const std::vector<std::string> &Names) override;
  void messageReceived(const Envelope &Message) override;

private:
  void handleForwardRequest(const Envelope &Message,
                            const ForwardRequest &Request);
  void handleJobQuery(const Envelope &Message, const JobQuery &Query);

  Dependencies Deps;
};

} // namespace vanillayard

#endif
