#include "ViewExchange.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Field headers, lengths and numbers of one encoded view.
static constexpr size_t ViewOverheadBytes = 20;

static size_t estimateBytes(const WorkerView &View) {
  return ViewOverheadBytes + View.Worker.str().size() +
         View.Address.str().size() + View.Rack.str().size();
}

static bool hasSameWhole(const WorkerView &A, const WorkerView &B) {
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
  bool IsSameWhole = !IsNew && hasSameWhole(View, Kept);
  this->ByVersion.erase(Kept.Version);
  View.Version = ++this->LastVersion;
  this->ByVersion[View.Version] = View.Worker;
  if (!IsSameWhole)
    this->WholeVersions[View.Worker] = View.Version;
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

ViewExchange::Batch ViewExchange::viewsFor(const HostId &To, absl::Time Now) {
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
    bool IsWholeKnown = this->WholeVersions.at(View.Worker) <= P.Acknowledged;
    Next.Views.push_back(IsWholeKnown ? makeBrief(View) : View);
    Bytes += estimateBytes(Next.Views.back());
  }
  if (!Next.Views.empty()) {
    // A wait for an acknowledgement starts when nothing was outstanding.
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

std::optional<WorkerView> ViewExchange::merge(Peer &From,
                                              const WorkerView &View) {
  auto Known = From.Views.find(View.Worker);
  if (!View.Brief)
    return View;
  if (Known == From.Views.end())
    return std::nullopt;
  WorkerView Whole = View;
  Whole.Address = Known->second.Address;
  Whole.Rack = Known->second.Rack;
  Whole.TotalSlots = Known->second.TotalSlots;
  Whole.Accelerators = Known->second.Accelerators;
  Whole.Brief = false;
  return Whole;
}

std::vector<WorkerView> ViewExchange::received(const HostId &From,
                                               const Batch &Got) {
  Peer &P = this->Peers[From];
  std::vector<WorkerView> New;
  bool HasGap = Got.After > P.Seen;
  P.IsAcknowledgementDue |= !Got.Views.empty();
  for (const WorkerView &View : Got.Views) {
    std::optional<WorkerView> Whole = merge(P, View);
    HasGap |= !Whole.has_value();
    if (!HasGap)
      P.Seen = std::max(P.Seen, View.Version);
    if (!Whole || View.Version <= P.Views[View.Worker].Version)
      continue;
    P.Views[View.Worker] = *Whole;
    New.push_back(std::move(*Whole));
  }
  return New;
}

int64_t ViewExchange::takeAcknowledgement(const HostId &From) {
  Peer &P = this->Peers[From];
  return std::exchange(P.IsAcknowledgementDue, false) ? P.Seen : 0;
}

const std::map<WorkerId, WorkerView> *
ViewExchange::of(const HostId &Host) const {
  auto Found = this->Peers.find(Host);
  return Found == this->Peers.end() ? nullptr : &Found->second.Views;
}

} // namespace vanillayard
