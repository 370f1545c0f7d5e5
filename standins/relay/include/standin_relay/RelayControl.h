#ifndef VANILLAYARD_STANDIN_RELAY_RELAYCONTROL_H
#define VANILLAYARD_STANDIN_RELAY_RELAYCONTROL_H

#include "net/HttpResponder.h"
#include "standin_relay/RelayLink.h"

#include <memory>
#include <vector>

namespace vanillayard {

/// Serves the HTTP control interface of the relay.
///
/// - `POST /v1/links` with `{"target": "127.0.0.1:1"}` opens a link and
///   answers `{"link": 0, "listen": "127.0.0.1:2"}`.
/// - `POST /v1/links/<n>` with any of `{"cut": true, "freeze": true,
///   "delay_ms": 5}` sets these faults and clears the others; `{}` clears all.
/// - `POST /v1/links/all` does the same for all links.
class RelayControl {
public:
  explicit RelayControl(LoopExecutor &Loop) : Loop(Loop) {}

  /// Opens a link to \p Target on a port that the kernel chooses.
  absl::StatusOr<const RelayLink *> addLink(const Endpoint &Target);
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

private:
  HttpResponse openLink(const HttpRequest &Request);
  HttpResponse setLinkFaults(std::string_view Name, const HttpRequest &Request);

  LoopExecutor &Loop;
  std::vector<std::unique_ptr<RelayLink>> Links;
};

} // namespace vanillayard

#endif
