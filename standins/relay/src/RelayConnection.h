#ifndef VANILLAYARD_STANDIN_RELAY_RELAYCONNECTION_H
#define VANILLAYARD_STANDIN_RELAY_RELAYCONNECTION_H

#include "TcpStream.h"
#include "net/LoopExecutor.h"
#include "standin_relay/LinkFaults.h"

#include <deque>
#include <functional>
#include <memory>

namespace vanillayard {

/// One connection through the relay.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
  /// \p Faults must outlive the connection; \p Closed runs once when either
  /// side has failed or both have ended.
  RelayConnection(LoopExecutor &Loop, const LinkFaults &Faults,
                  std::function<void()> Closed);

  /// Accepts the client and connects to the target.
  void start(uv_tcp_t *Listener, const sockaddr_in &Target);
  /// Closes both sides; Closed does not run.
  void close();
  /// Passes on what may be passed on after a change of the faults.
  void pump();

private:
  /// Bytes that wait in one direction before reading stops.
  static constexpr size_t MaxQueuedBytes = 1 << 20;

  struct Chunk {
    absl::Time ReadAt;
    /// Empty for the end of the data.
    std::string Data;
  };
  struct Direction {
    TcpStream *From = nullptr;
    TcpStream *To = nullptr;
    std::deque<Chunk> Queue;
    size_t QueuedBytes = 0;
    bool Ended = false;
  };

  void watch(Direction &Way);
  void pump(Direction &Way);
  void fail();

  LoopExecutor &Loop;
  const LinkFaults &Faults;
  std::function<void()> Closed;
  std::unique_ptr<TcpStream> Client;
  std::unique_ptr<TcpStream> Target;
  Direction Up;
  Direction Down;
  bool Connected = false;
};

} // namespace vanillayard

#endif
