#include "ViewExchange.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Estimated bytes of one encoded view apart from the text of its strings:
/// field headers, lengths and numbers.
static constexpr size_t ViewOverheadBytes = 20;

static size_t estimateBytes(const WorkerView &View) {
  return ViewOverheadBytes + View.Worker.str().size() +
         View.Address.str().size() + View.Rack.str().size();
}

static bool hasSameStaticFields(const WorkerView &A, const WorkerView &B) {
  return A.Address == B.Address && A.Rack == B.Rack &&
         A.TotalSlots == B.TotalSlots && A.Accelerators == B.Accelerators;
}

static WorkerView makeBrief(WorkerView View) {
  View.Brief = true;
  View.Address = Endpoint();
  View.Rack = RackId();
  View.TotalSlots = 0;
  View.Accelerators = 0;
  return View;
}

void ViewExchange::publish(WorkerView View) {
  View.Brief = false;
  auto [Place, IsNew] = this->Own.try_emplace(View.Worker);
  WorkerView &Kept = Place->second;
  View.Version = Kept.Version;
  if (!IsNew && View == Kept)
    return;
  bool HasSameStaticFields = !IsNew && hasSameStaticFields(View, Kept);
  this->ByVersion.erase(Kept.Version);
  View.Version = ++this->LastVersion;
  this->ByVersion[View.Version] = View.Worker;
  if (!HasSameStaticFields)
    this->StaticVersions[View.Worker] = View.Version;
  Kept = std::move(View);
}

void ViewExchange::withdraw(const WorkerId &Worker) {
  auto Found = this->Own.find(Worker);
  if (Found == this->Own.end())
    return;
  WorkerView View = Found->second;
  View.Withdrawn = true;
  this->publish(std::move(View));
}

ViewExchange::Batch ViewExchange::nextBatch(const HostId &To, absl::Time Now) {
  Peer &P = this->Peers[To];
  if (Now - P.RefreshedAt >= RefreshInterval) {
    P.RefreshedAt = Now;
    P.Sent = P.Acknowledged = 0;
  }
  if (P.Sent > P.Acknowledged && Now - P.SentAt >= ResendAfter)
    P.Sent = P.Acknowledged;
  Batch Next{P.Sent, {}};
  size_t Bytes = 0;
  for (auto It = this->ByVersion.upper_bound(P.Sent);
       It != this->ByVersion.end() && Bytes < BytesPerHeartbeat; ++It) {
    const WorkerView &View = this->Own.at(It->second);
    bool AreStaticFieldsKnown =
        this->StaticVersions.at(View.Worker) <= P.Acknowledged;
    Next.Views.push_back(AreStaticFieldsKnown ? makeBrief(View) : View);
    Bytes += estimateBytes(Next.Views.back());
  }
  if (!Next.Views.empty()) {
    // The wait for an acknowledgement starts with a batch that is sent while no
    // other one is outstanding.
    if (P.Sent <= P.Acknowledged)
      P.SentAt = Now;
    P.Sent = Next.Views.back().Version;
  }
  return Next;
}

void ViewExchange::acknowledged(const HostId &From, int64_t Version) {
  Peer &P = this->Peers[From];
  if (Version <= P.Acknowledged || Version > P.Sent)
    return;
  P.Acknowledged = Version;
}

void ViewExchange::restarted(const HostId &Host) {
  this->Peers[Host] = Peer();
}

void ViewExchange::forget(const HostId &Host) {
  this->Peers.erase(Host);
}

std::optional<WorkerView> ViewExchange::expandView(Peer &From,
                                                   const WorkerView &View) {
  auto Known = From.Views.find(View.Worker);
  if (!View.Brief)
    return View;
  if (Known == From.Views.end())
    return std::nullopt;
  WorkerView Full = View;
  Full.Address = Known->second.Address;
  Full.Rack = Known->second.Rack;
  Full.TotalSlots = Known->second.TotalSlots;
  Full.Accelerators = Known->second.Accelerators;
  Full.Brief = false;
  return Full;
}

std::vector<WorkerView> ViewExchange::received(const HostId &From,
                                               const Batch &Received) {
  Peer &P = this->Peers[From];
  std::vector<WorkerView> New;
  bool HasGap = Received.After > P.ReceivedVersion;
  P.IsAcknowledgementDue |= !Received.Views.empty();
  for (const WorkerView &View : Received.Views) {
    std::optional<WorkerView> Full = expandView(P, View);
    HasGap |= !Full.has_value();
    if (!HasGap)
      P.ReceivedVersion = std::max(P.ReceivedVersion, View.Version);
    if (!Full || View.Version <= P.Views[View.Worker].Version)
      continue;
    P.Views[View.Worker] = *Full;
    New.push_back(std::move(*Full));
  }
  return New;
}

int64_t ViewExchange::takeAcknowledgement(const HostId &From) {
  Peer &P = this->Peers[From];
  return std::exchange(P.IsAcknowledgementDue, false) ? P.ReceivedVersion : 0;
}

const std::map<WorkerId, WorkerView> *
ViewExchange::viewsOf(const HostId &Host) const {
  auto Found = this->Peers.find(Host);
  return Found == this->Peers.end() ? nullptr : &Found->second.Views;
}

} // namespace vanillayard
