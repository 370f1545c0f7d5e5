#ifndef VANILLAYARD_PEER_SRC_REQUESTTABLE_H
#define VANILLAYARD_PEER_SRC_REQUESTTABLE_H

#include "base/Executor.h"
#include "wire/Envelope.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <optional>

namespace vanillayard {

/// Returns true for a message that is a reply to a request.
bool isReply(const PeerMessage &Message);

/// Stores the requests to other hosts that wait for a reply.
class RequestTable {
public:
  using Callback = std::function<void(absl::StatusOr<Envelope>)>;

  /// \param FirstCorrelation must differ from those of earlier processes of
  ///        this host, whose replies may still arrive.
  RequestTable(Executor &Exec, int64_t FirstCorrelation)
      : Exec(Exec), NextCorrelation(FirstCorrelation) {}
  ~RequestTable();
  RequestTable(const RequestTable &) = delete;
  RequestTable &operator=(const RequestTable &) = delete;

  /// Adds a request and returns its correlation id. \p Done gets OutcomeUnknown
  /// if there is no reply within \p Timeout.
  int64_t add(const HostId &To, const PeerMessage &Request,
              absl::Duration Timeout, Callback Done);
  /// Removes a request and returns its callback; none if the request has ended.
  std::optional<Callback> takeCallback(int64_t Correlation);
  /// Passes a reply to the callback of its request. A reply from another host
  /// than the one asked, of the wrong type, or to a request that has ended is
  /// dropped.
  void complete(const Envelope &Reply);
  /// Ends the requests to a host that died or restarted with OutcomeUnknown.
  void failAll(const HostId &Host);

  size_t pending() const { return this->Pending.size(); }

private:
  struct Entry {
    HostId To;
    /// Index of the expected reply's type in PeerMessage.
    size_t ReplyType = 0;
    Callback Done;
    Executor::TimerId Timer = 0;
  };

  Executor &Exec;
  int64_t NextCorrelation;
  std::map<int64_t, Entry> Pending;
};

} // namespace vanillayard

#endif
