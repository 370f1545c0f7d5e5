#include "storerelay/StorePath.h"

namespace vanillayard {

StorePath::Route StorePath::route(bool HasPeers, absl::Time Now) const {
  if (!this->IsDirectDown)
    return Route::Direct;
  if (HasPeers && Now >= this->AskPeersFrom)
    return Route::Peer;
  return this->IsSilent ? Route::None : Route::Direct;
}

void StorePath::directAnswered(Answer Kind) {
  switch (Kind) {
  case Answer::Served:
    this->IsDirectDown = false;
    this->IsSilent = false;
    this->MissingInARow = 0;
    break;
  case Answer::Refused:
    this->IsDirectDown = true;
    this->IsSilent = false;
    break;
  case Answer::Missing:
    if (++this->MissingInARow < MissingBeforeDown)
      break;
    this->IsDirectDown = true;
    this->IsSilent = true;
    break;
  }
}

void StorePath::peerAnswered(Answer Kind, absl::Time Now) {
  if (Kind != Answer::Missing)
    this->PeerMissingInARow = 0;
  else if (++this->PeerMissingInARow >= MissingBeforeDown)
    this->peersNotServed(Now);
}

void StorePath::peersNotServed(absl::Time Now) {
  this->AskPeersFrom = Now + PeerRest;
}

bool StorePath::takeProbe(absl::Time Now) {
  if (!this->IsDirectDown || Now < this->NextProbe)
    return false;
  this->NextProbe = Now + ProbeInterval;
  return true;
}

} // namespace vanillayard
