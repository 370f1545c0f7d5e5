#include "storerelay/StorePath.h"

namespace vanillayard {

StorePath::Route StorePath::route(bool HasPeers, absl::Time Now) const {
  bool IsPeerUseful = HasPeers && Now >= this->AskPeersFrom;
  return this->IsDirectDown && IsPeerUseful ? Route::Peer : Route::Direct;
}

void StorePath::directAnswered(Answer Kind) {
  switch (Kind) {
  case Answer::Served:
    this->IsDirectDown = false;
    this->MissingInARow = 0;
    break;
  case Answer::Refused:
    this->IsDirectDown = true;
    break;
  case Answer::Missing:
    if (++this->MissingInARow >= MissingBeforePeer)
      this->IsDirectDown = true;
    break;
  }
}

void StorePath::peersRefused(absl::Time Now) {
  this->AskPeersFrom = Now + PeerRest;
}

bool StorePath::takeProbe(absl::Time Now) {
  if (!this->IsDirectDown || Now < this->NextProbe)
    return false;
  this->NextProbe = Now + ProbeInterval;
  return true;
}

} // namespace vanillayard
