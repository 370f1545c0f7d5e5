#include "daemon/PeerForwarder.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "peer/Membership.h"
#include "peer/PeerHost.h"
#include "requests/SubmittedRequest.h"
#include "wire/Envelope.h"

#include <algorithm>
#include <optional>

namespace vanillayard {

void PeerForwarder::refreshLoads() {
  this->Loads.clear();
  for (const DataCentreId &Id : this->Peers.dataCentres()) {
    if (Id == this->DataCentre)
      continue;
    DataCentreLoad Load;
    Load.DataCentre = Id;
    Load.QueueDelay = this->Peers.loadOf(Id).QueueDelay;
    Load.ReportTime = this->lastReportTime(Id);
    Load.Reachable = !this->Peers.liveHosts(Id).empty();
    this->Loads.push_back(std::move(Load));
  }
}

absl::Time PeerForwarder::lastReportTime(const DataCentreId &Id) const {
  // Relayed digests do not contain the time of the host's own report. Those
  // that are kept count as current, as the membership drops old ones.
  if (this->Peers.isRelaying())
    return this->Exec.now();
  absl::Time Last = absl::InfinitePast();
  for (const PeerHost &Host : this->Peers.hosts())
    if (Host.DataCentre == Id && Host.isUsable())
      Last = std::max(Last, Host.LastDirect);
  return Last;
}

void PeerForwarder::forward(const DataCentreId &Target,
                            const SubmittedRequest &Request,
                            AnswerCallback Done) {
  std::optional<HostId> To = this->Peers.chooseForwardTarget(Target);
  if (!To) {
    this->Exec.post([Done = std::move(Done)] {
      Done(makeError(ErrorKind::NoCapacity,
                     "no entry host of the target data centre can be reached"));
    });
    return;
  }
  ForwardRequest Message;
  Message.Request = Request.Id;
  Message.Account = Request.Account;
  Message.Caller = Request.Caller;
  Message.Kind = Request.Kind;
  Message.Remaining = Request.Deadline - this->Exec.now();
  Message.Repeatable = Request.Repeatable;
  Message.IdempotencyKey = Request.IdempotencyKey;
  Message.Body = Request.Body;
  absl::Duration Timeout = Message.Remaining + ReplyMargin;
  this->Peers.request(
      *To, std::move(Message), Timeout,
      [Id = Request.Id,
       Done = std::move(Done)](absl::StatusOr<Envelope> Reply) {
        if (!Reply.ok())
          return Done(Reply.status());
        const auto *Answer = std::get_if<ForwardReply>(&Reply->Message);
        if (!Answer)
          return Done(makeError(ErrorKind::AnswerMismatch,
                                "expected a ForwardReply message from the "
                                "peer, got another type"));
        if (!Answer->Answer.ok())
          return Done(Answer->Answer.status());
        Done(RequestAnswer{Id, *Answer->Answer, WorkerId()});
      });
}

} // namespace vanillayard
