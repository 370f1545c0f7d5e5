#include "PeerRouter.h"

#include "base/Executor.h"
#include "configsync/ConfigurationTask.h"
#include "daemon/WorkerMonitor.h"
#include "jobs/JobNotifier.h"
#include "jobs/PlannerTask.h"
#include "observe/WarningCenter.h"
#include "peer/Membership.h"
#include "peer/PeerHost.h"
#include "requests/RequestTask.h"
#include "requests/SubmittedRequest.h"
#include "wire/Envelope.h"

namespace vanillayard {

PeerRouter::PeerRouter(Dependencies Deps) : Deps(std::move(Deps)) {
  this->Deps.Peers.addListener(this);
}

PeerRouter::~PeerRouter() {
  this->Deps.Peers.removeListener(this);
}

void PeerRouter::hostChanged(const PeerHost &Host) {
  bool IsLost = this->Deps.Peers.liveHosts(Host.DataCentre).empty();
  this->Deps.Planner.setDataCentreLost(Host.DataCentre, IsLost);
  WarningKey Key{WarningCondition::DataCentreUnreachable,
                 Host.DataCentre.str()};
  if (IsLost)
    this->Deps.Warnings.raise(Key, "no entry host of it answers");
  else
    this->Deps.Warnings.clear(Key);
}

void PeerRouter::plannerChanged(bool IsPlanner) {
  this->Deps.PlannerChanged(IsPlanner);
}

void PeerRouter::workerViewChanged(const HostId &, const WorkerView &View) {
  this->Deps.Monitor.applyPeerView(View);
}

void PeerRouter::newerGenerationSeen(const HostId &From, int64_t Generation) {
  this->Deps.Config.onNewerGeneration(From, Generation);
}

static std::vector<WarningKey>
parseWarnings(const std::vector<std::string> &Names) {
  std::vector<WarningKey> Keys;
  for (const std::string &Name : Names) {
    size_t Slash = Name.find('/');
    auto Condition = parseWarningCondition(Name.substr(0, Slash));
    if (Condition)
      Keys.push_back({*Condition, Slash == std::string::npos
                                      ? std::string()
                                      : Name.substr(Slash + 1)});
  }
  return Keys;
}

void PeerRouter::warningsChanged(const HostId &From,
                                 const std::vector<std::string> &Names) {
  this->Deps.Warnings.setRemoteWarnings(From, parseWarnings(Names));
}

void PeerRouter::messageReceived(const Envelope &Message) {
  if (const auto *Request = std::get_if<ForwardRequest>(&Message.Message))
    return this->handleForwardRequest(Message, *Request);
  if (const auto *Query = std::get_if<JobQuery>(&Message.Message))
    return this->handleJobQuery(Message, *Query);
  if (std::get_if<ConfigRequest>(&Message.Message)) {
    (void)this->Deps.Peers.reply(Message,
                                 ConfigReply{this->Deps.Config.generation(),
                                             this->Deps.Config.document()});
    return;
  }
  JobChange Change;
  Change.DataCentre = this->Deps.DataCentre;
  if (const auto *Notice = std::get_if<JobNotice>(&Message.Message)) {
    Change.Job = Notice->Job;
    this->Deps.Planner.onJobChange(Change);
  } else if (const auto *Cancel = std::get_if<CancelNotice>(&Message.Message)) {
    Change.Job = Cancel->Job;
    Change.State = JobState::Cancelled;
    Change.CancelRequested = true;
    this->Deps.Planner.onJobChange(Change);
  }
}

void PeerRouter::handleForwardRequest(const Envelope &Message,
                                      const ForwardRequest &Request) {
  SubmittedRequest Submitted;
  // The id starts with the name of the host that assigned it, so it is also
  // unique on this host.
  Submitted.Id = Request.Request;
  Submitted.Account = Request.Account;
  Submitted.Caller = Request.Caller;
  Submitted.Kind = Request.Kind;
  Submitted.Deadline = this->Deps.Exec.now() + Request.Remaining;
  Submitted.Repeatable = Request.Repeatable;
  Submitted.IdempotencyKey = Request.IdempotencyKey;
  Submitted.Body = Request.Body;
  Submitted.Forwarded = true;
  this->Deps.Requests.submit(
      std::move(Submitted),
      [this, Message](absl::StatusOr<RequestAnswer> Answer) {
        ForwardReply Reply;
        if (Answer.ok())
          Reply.Answer = std::move(Answer->Body);
        else
          Reply.Answer = Answer.status();
        (void)this->Deps.Peers.reply(Message, std::move(Reply));
      });
}

void PeerRouter::handleJobQuery(const Envelope &Message,
                                const JobQuery &Query) {
  const JobRecord *Known = this->Deps.Planner.findJob(Query.Job);
  (void)this->Deps.Peers.reply(
      Message, JobReply{Query.Job, Known ? Known->encode() : std::string()});
}

} // namespace vanillayard
