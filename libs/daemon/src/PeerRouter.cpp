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

PeerRouter::PeerRouter(Targets To) : To(std::move(To)) {
  this->To.Peers.addListener(this);
}

PeerRouter::~PeerRouter() {
  this->To.Peers.removeListener(this);
}

void PeerRouter::hostChanged(const PeerHost &Host) {
  bool IsLost = this->To.Peers.liveHosts(Host.DataCentre).empty();
  this->To.Planner.setDataCentreLost(Host.DataCentre, IsLost);
  WarningKey Key{WarningCondition::DataCentreUnreachable,
                 Host.DataCentre.str()};
  if (IsLost)
    this->To.Warnings.raise(Key, "no entry host of it answers");
  else
    this->To.Warnings.clear(Key);
}

void PeerRouter::plannerChanged(bool IsPlanner) {
  this->To.PlannerChanged(IsPlanner);
}

void PeerRouter::workerViewChanged(const HostId &, const WorkerView &View) {
  this->To.Workers.applyPeerView(View);
}

void PeerRouter::newerGenerationSeen(const HostId &At, int64_t Generation) {
  this->To.Config.onNewerGeneration(At, Generation);
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

void PeerRouter::warningsChanged(const HostId &At,
                                 const std::vector<std::string> &Names) {
  this->To.Warnings.setRemote(At, parseWarnings(Names));
}

void PeerRouter::messageReceived(const Envelope &Message) {
  if (const auto *Request = std::get_if<ForwardRequest>(&Message.Message))
    return this->forwarded(Message, *Request);
  if (const auto *Query = std::get_if<JobQuery>(&Message.Message))
    return this->queried(Message, *Query);
  if (std::get_if<ConfigRequest>(&Message.Message)) {
    (void)this->To.Peers.reply(
        Message,
        ConfigReply{this->To.Config.generation(), this->To.Config.document()});
    return;
  }
  JobChange Change;
  Change.DataCentre = this->To.DataCentre;
  if (const auto *Notice = std::get_if<JobNotice>(&Message.Message)) {
    Change.Job = Notice->Job;
    this->To.Planner.onJobChange(Change);
  } else if (const auto *Cancel = std::get_if<CancelNotice>(&Message.Message)) {
    Change.Job = Cancel->Job;
    Change.State = JobState::Cancelled;
    Change.CancelRequested = true;
    this->To.Planner.onJobChange(Change);
  }
}

void PeerRouter::forwarded(const Envelope &Message,
                           const ForwardRequest &Request) {
  SubmittedRequest Submitted;
  // Unique here too: the id names the host that made it.
  Submitted.Id = Request.Request;
  Submitted.Account = Request.Account;
  Submitted.Caller = Request.Caller;
  Submitted.Kind = Request.Kind;
  Submitted.Deadline = this->To.Exec.now() + Request.Remaining;
  Submitted.Repeatable = Request.Repeatable;
  Submitted.IdempotencyKey = Request.IdempotencyKey;
  Submitted.Body = Request.Body;
  Submitted.Forwarded = true;
  this->To.Requests.submit(
      std::move(Submitted),
      [this, Message](absl::StatusOr<RequestAnswer> Answer) {
        ForwardReply Reply;
        if (Answer.ok())
          Reply.Answer = std::move(Answer->Body);
        else
          Reply.Answer = Answer.status();
        (void)this->To.Peers.reply(Message, std::move(Reply));
      });
}

void PeerRouter::queried(const Envelope &Message, const JobQuery &Query) {
  const JobRecord *Known = this->To.Planner.find(Query.Job);
  (void)this->To.Peers.reply(
      Message, JobReply{Query.Job, Known ? Known->encode() : std::string()});
}

} // namespace vanillayard
