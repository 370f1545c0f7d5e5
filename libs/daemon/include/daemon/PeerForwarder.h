#ifndef VANILLAYARD_DAEMON_PEERFORWARDER_H
#define VANILLAYARD_DAEMON_PEERFORWARDER_H

#include "policy/DataCentreSelector.h"
#include "requests/RequestForwarder.h"

#include "absl/time/time.h"

#include <vector>

namespace vanillayard {

class Executor;
class Membership;

/// RequestForwarder over the peer links.
class PeerForwarder final : public RequestForwarder {
public:
  /// Added to the request's remaining time before a forwarded request counts
  /// as lost, so that the remote host's own deadline comes first.
  static constexpr absl::Duration ReplyMargin = absl::Milliseconds(500);

  PeerForwarder(Executor &Exec, Membership &Peers, DataCentreId DataCentre)
      : Exec(Exec), Peers(Peers), DataCentre(std::move(DataCentre)) {}

  /// Reads the loads anew from the membership. To be called regularly.
  void refreshLoads();

  std::span<const DataCentreLoad> loads() const override { return this->Loads; }
  void forward(const DataCentreId &Target, const SubmittedRequest &Request,
               AnswerCallback Done) override;

private:
  absl::Time lastReport(const DataCentreId &Id) const;

  Executor &Exec;
  Membership &Peers;
  DataCentreId DataCentre;
  std::vector<DataCentreLoad> Loads;
};

} // namespace vanillayard

#endif
