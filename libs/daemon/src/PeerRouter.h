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

/// Passes messages and changes from the membership to the tasks of this host.
class PeerRouter final : public MembershipListener {
public:
  /// The tasks that messages go to; all outlive the router.
  struct Targets {
    Executor &Exec;
    Membership &Peers;
    RequestTask &Requests;
    PlannerTask &Planner;
    WorkerMonitor &Workers;
    WarningCenter &Warnings;
    ConfigurationTask &Config;
    DataCentreId DataCentre;
    /// Called when this host gains or loses the planner's role.
    std::function<void(bool IsPlanner)> PlannerChanged;
  };

  explicit PeerRouter(Targets To);
  ~PeerRouter() override;

  void hostChanged(const PeerHost &Host) override;
  void plannerChanged(bool IsPlanner) override;
  void workerViewChanged(const HostId &From, const WorkerView &View) override;
  void newerGenerationSeen(const HostId &At, int64_t Generation) override;
  void warningsChanged(const HostId &At,
                       const std::vector<std::string> &Names) override;
  void messageReceived(const Envelope &Message) override;

private:
  void forwarded(const Envelope &Message, const ForwardRequest &Request);
  void queried(const Envelope &Message, const JobQuery &Query);

  Targets To;
};

} // namespace vanillayard

#endif
