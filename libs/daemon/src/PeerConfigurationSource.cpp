#include "PeerConfigurationSource.h"

#include "peer/Membership.h"
#include "wire/Envelope.h"

namespace vanillayard {

static constexpr absl::Duration ReplyTimeout = absl::Seconds(1);

void PeerConfigurationSource::fetchDocument(const HostId &Host,
                                            int64_t KnownGeneration,
                                            Callback Done) {
  this->Peers.request(
      Host, ConfigRequest{KnownGeneration}, ReplyTimeout,
      [Done = std::move(Done)](const absl::StatusOr<Envelope> &Reply) {
        if (!Reply.ok())
          return Done(Reply.status());
        const auto *Answer = std::get_if<ConfigReply>(&Reply->Message);
        if (!Answer)
          return Done(absl::InternalError("expected a ConfigReply message from "
                                          "the peer, got another type"));
        Done(Answer->Document);
      });
}

} // namespace vanillayard
