#ifndef VANILLAYARD_STANDIN_RELAY_RELAYCONNECTION_H
#define VANILLAYARD_STANDIN_RELAY_RELAYCONNECTION_H

#include "TcpStream.h"
#include "net/LoopExecutor.h"
#include "standin_relay/LinkFaults.h"

#include <deque>
#include <functional>
#include <memory>

namespace vanillayard {

/// Relays one client's connection to the target, subject to the link's faults.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
  /// \p Faults must outlive the connection. \p Closed is called once when
  /// either side has failed or both have ended their data.
  RelayConnection(LoopExecutor &Loop, const LinkFaults &Faults,
                  std::function<void()> Closed);

  /// Accepts the client and connects to the target.
  void start(uv_tcp_t *Listener, const sockaddr_in &Target);
  /// Closes both sides without calling Closed.
  void close();
  /// Forwards the queued data that the current faults allow. To be called after
  /// the faults have changed.
  void forwardQueued();

private:
  /// Reading in one direction pauses while more bytes than this are queued.
  static constexpr size_t MaxQueuedBytes = 1 << 20;

  struct Chunk {
    absl::Time ReadAt;
    /// Empty at the end of the data.
    std::string Data;
  };
  struct Direction {
    TcpStream *From = nullptr;
    TcpStream *To = nullptr;
    std::deque<Chunk> Queue;
    size_t QueuedBytes = 0;
    /// The end of the data was forwarded.
    bool Ended = false;
  };

  void registerCallbacks(Direction &D);
  void forwardQueued(Direction &D);
  /// Closes both sides and posts Closed to the loop.
  void closeAndNotify();

  LoopExecutor &Loop;
  const LinkFaults &Faults;
  std::function<void()> Closed;
  std::unique_ptr<TcpStream> Client;
  std::unique_ptr<TcpStream> Target;
  Direction ToTarget;
  Direction ToClient;
  bool Connected = false;
};

} // namespace vanillayard

#endif
