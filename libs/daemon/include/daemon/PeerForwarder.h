#ifndef VANILLAYARD_DAEMON_PEERFORWARDER_H
#define VANILLAYARD_DAEMON_PEERFORWARDER_H

#include "policy/DataCentreSelector.h"
#include "requests/RequestForwarder.h"

#include "absl/time/time.h"

#include <vector>

namespace vanillayard {

class Executor;
class Membership;

/// Forwards short requests to other entry hosts over the peer connections.
class PeerForwarder final : public RequestForwarder {
public:
  /// Added to a request's remaining time to get the timeout of its reply, so
  /// that the deadline expires on the remote host first.
  static constexpr absl::Duration ReplyMargin = absl::Milliseconds(500);

  PeerForwarder(Executor &Exec, Membership &Peers, DataCentreId DataCentre)
      : Exec(Exec), Peers(Peers), DataCentre(std::move(DataCentre)) {}

  /// Rebuilds dataCentreLoads() from the membership. Must be called
  /// periodically.
  void refreshLoads();

  std::span<const DataCentreLoad> dataCentreLoads() const override {
    return this->Loads;
  }
  void forward(const DataCentreId &Target, const SubmittedRequest &Request,
               AnswerCallback Done) override;

private:
  /// Time of the latest report from a usable host of the data centre;
  /// InfinitePast if there is none.
  absl::Time lastReportTime(const DataCentreId &Id) const;

  Executor &Exec;
  Membership &Peers;
  DataCentreId DataCentre;
  std::vector<DataCentreLoad> Loads;
};

} // namespace vanillayard

#endif
