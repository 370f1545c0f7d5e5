#include "storerelay/StoreRouter.h"

namespace vanillayard {

StoreRouter::Route StoreRouter::route(bool HasPeers, absl::Time Now) const {
  if (!this->IsDirectDown)
    return Route::Direct;
  if (HasPeers && Now >= this->NextPeerAttempt)
    return Route::Peer;
  return this->IsUnresponsive ? Route::None : Route::Direct;
}

void StoreRouter::recordDirectOutcome(Outcome Result) {
  switch (Result) {
  case Outcome::Served:
    this->IsDirectDown = false;
    this->IsUnresponsive = false;
    this->DirectUnansweredCalls = 0;
    break;
  case Outcome::Refused:
    this->IsDirectDown = true;
    this->IsUnresponsive = false;
    break;
  case Outcome::Unanswered:
    if (++this->DirectUnansweredCalls < UnansweredBeforeDown)
      break;
    this->IsDirectDown = true;
    this->IsUnresponsive = true;
    break;
  }
}

void StoreRouter::recordPeerOutcome(Outcome Result, absl::Time Now) {
  if (Result != Outcome::Unanswered)
    this->PeerUnansweredCalls = 0;
  else if (++this->PeerUnansweredCalls >= UnansweredBeforeDown)
    this->startPeerBackoff(Now);
}

void StoreRouter::startPeerBackoff(absl::Time Now) {
  this->NextPeerAttempt = Now + PeerBackoff;
}

bool StoreRouter::startProbeIfDue(absl::Time Now) {
  if (!this->IsDirectDown || Now < this->NextProbe)
    return false;
  this->NextProbe = Now + ProbeInterval;
  return true;
}

} // namespace vanillayard
