#ifndef VANILLAYARD_NET_H2OHTTPCLIENT_H
#define VANILLAYARD_NET_H2OHTTPCLIENT_H

#include "net/HttpClient.h"

#include <memory>

namespace vanillayard {

class LoopExecutor;

/// HttpClient that uses h2o and keeps connections open for reuse.
class H2oHttpClient final : public HttpClient {
public:
  explicit H2oHttpClient(LoopExecutor &Loop);
  ~H2oHttpClient() override;

  CallId send(const Endpoint &To, HttpRequest Request, absl::Duration Timeout,
              ResponseCallback Done) override;
  CallId stream(const Endpoint &To, HttpRequest Request, ChunkCallback OnChunk,
                EndCallback OnEnd) override;
  void cancel(CallId Call) override;

  class Impl;

private:
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
