#ifndef VANILLAYARD_NET_FRAMEDLISTENER_H
#define VANILLAYARD_NET_FRAMEDLISTENER_H

#include "net/FramedLink.h"

namespace vanillayard {

/// Accepts links. Destroying it closes the listening socket only.
class FramedListener {
public:
  virtual ~FramedListener() = default;
  virtual Endpoint address() const = 0;
};

/// Listens at \p Address (port 0 lets the kernel choose) and passes each new
/// link to \p Accepted. Errors: InvalidArgument, Unavailable.
absl::StatusOr<std::unique_ptr<FramedListener>>
listenFramed(LoopExecutor &Loop, const Endpoint &Address,
             std::function<void(std::unique_ptr<FramedLink>)> Accepted);

} // namespace vanillayard

#endif
