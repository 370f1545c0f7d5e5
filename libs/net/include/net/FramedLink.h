#ifndef VANILLAYARD_NET_FRAMEDLINK_H
#define VANILLAYARD_NET_FRAMEDLINK_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

class LoopExecutor;

/// One TCP connection that carries frames: 4 bytes of length, big endian, then
/// the message. Destroying the link closes it; no callback runs afterwards.
class FramedLink {
public:
  /// Longest message that is sent or accepted, in bytes.
  static constexpr size_t MaxFrameBytes = 4 << 20;
  /// Bytes that may wait to be sent before send() refuses.
  static constexpr size_t MaxQueuedBytes = 16 << 20;

  using MessageCallback = std::function<void(std::string Message)>;
  using CloseCallback = std::function<void(absl::Status)>;

  virtual ~FramedLink() = default;

  /// Sets the receivers. \p Closed runs once when the connection ends.
  virtual void onEvents(MessageCallback Message, CloseCallback Closed) = 0;

  /// Queues a message.
  /// \returns Unavailable if the link is closed, ResourceExhausted if too many
  ///          bytes wait, InvalidArgument if the message is too long.
  virtual absl::Status send(const std::string &Message) = 0;
};

/// Opens a link; \p Done runs once, in the loop.
/// Errors: InvalidArgument for a bad address, Unavailable if no connection
/// was made.
void connectFramed(
    LoopExecutor &Loop, const Endpoint &To,
    std::function<void(absl::StatusOr<std::unique_ptr<FramedLink>>)> Done);

} // namespace vanillayard

#endif
