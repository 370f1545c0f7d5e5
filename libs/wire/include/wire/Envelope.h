#ifndef VANILLAYARD_WIRE_ENVELOPE_H
#define VANILLAYARD_WIRE_ENVELOPE_H

#include "base/Ids.h"
#include "observe/HlcTime.h"
#include "wire/ConfigMessages.h"
#include "wire/ForwardMessages.h"
#include "wire/Heartbeat.h"
#include "wire/JobMessages.h"

#include <cstdint>
#include <variant>

namespace vanillayard {

/// Announces that the sender accepts no more work and will exit soon.
struct Leaving {
  friend bool operator==(const Leaving &, const Leaving &) = default;
};

using PeerMessage = std::variant<Heartbeat, ConfigRequest, ConfigReply,
                                 ForwardRequest, ForwardReply, JobNotice,
                                 JobQuery, JobReply, CancelNotice, Leaving>;

/// One message between entry hosts.
struct Envelope {
  HostId Sender;
  /// Increases each time the sender's process starts.
  int64_t Incarnation = 0;
  DataCentreId DataCentre;
  HlcTime Time;
  /// Matches a reply to its request; 0 for a message that is neither.
  int64_t Correlation = 0;
  PeerMessage Message;

  friend bool operator==(const Envelope &, const Envelope &) = default;
};

} // namespace vanillayard

#endif
