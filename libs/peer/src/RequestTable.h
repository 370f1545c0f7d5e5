#ifndef VANILLAYARD_PEER_SRC_REQUESTTABLE_H
#define VANILLAYARD_PEER_SRC_REQUESTTABLE_H

#include "base/Executor.h"
#include "wire/Envelope.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <optional>

namespace vanillayard {

/// Returns true for a message that answers a request.
bool isReply(const PeerMessage &Message);

/// Requests to other hosts that wait for their replies.
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

  /// Enters a request and returns its correlation id. \p Done gets
  /// OutcomeUnknown after \p Timeout.
  int64_t add(const HostId &To, const PeerMessage &Request,
              absl::Duration Timeout, Callback Done);
  /// Takes a request out again, when it was not sent.
  std::optional<Callback> take(int64_t Correlation);
  /// Passes a reply on. A reply from another host than the one asked, of
  /// another type, or to a request that has ended is dropped.
  void complete(const Envelope &Reply);
  /// Ends the requests to a host that is gone with OutcomeUnknown.
  void failAll(const HostId &Host);

  size_t pending() const { return this->Pending.size(); }

private:
  struct Entry {
    HostId To;
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
