#ifndef VANILLAYARD_NET_FRAMEDLISTENER_H
#define VANILLAYARD_NET_FRAMEDLISTENER_H

#include "net/FramedLink.h"

namespace vanillayard {

/// Listens for incoming links. Destroying it closes the listening socket;
/// accepted links stay open.
class FramedListener {
public:
  virtual ~FramedListener() = default;
  /// The bound address; if port 0 was requested, with the port that the kernel
  /// chose.
  virtual Endpoint address() const = 0;
};

/// Default of listenFramed(): eight messages of the maximum size.
inline constexpr size_t DefaultMaxFramedInputBytes =
    8 * FramedLink::MaxFrameBytes;

/// Listens at \p Address (port 0 lets the kernel choose) and passes each new
/// link to \p Accepted.
/// \param MaxInputBytes bytes of partly received messages over all accepted
///        links. Beyond it, the link that holds the most is closed with
///        ResourceExhausted.
/// Errors: InvalidArgument if \p Address is not an IP:port address, Unavailable
/// if it cannot be bound.
absl::StatusOr<std::unique_ptr<FramedListener>>
listenFramed(LoopExecutor &Loop, const Endpoint &Address,
             std::function<void(std::unique_ptr<FramedLink>)> Accepted,
             size_t MaxInputBytes = DefaultMaxFramedInputBytes);

} // namespace vanillayard

#endif
