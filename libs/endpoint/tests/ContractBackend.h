#ifndef VANILLAYARD_ENDPOINT_TESTS_CONTRACTBACKEND_H
#define VANILLAYARD_ENDPOINT_TESTS_CONTRACTBACKEND_H

#include "base/VirtualExecutor.h"
#include "endpoint/HttpWorkerClient.h"
#include "endpoint/testing/FakeFleetClient.h"
#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_worker/WorkerHttpService.h"

#include <functional>
#include <memory>

namespace vanillayard {

/// One worker and a client that calls it, for the contract test of
/// WorkerClient.
class ContractBackend {
public:
  static constexpr absl::Duration WaitLimit = absl::Seconds(60);

  virtual ~ContractBackend() = default;
  virtual WorkerClient &client() = 0;
  virtual WorkerModel &model() = 0;
  virtual WorkerFaults &faults() = 0;
  virtual void setFrozen(bool Frozen) = 0;
  virtual Endpoint worker() const = 0;
  /// An address on which no process listens.
  virtual Endpoint unusedAddress() const = 0;
  /// Advances time until \p Done returns true. Returns false after WaitLimit.
  virtual bool waitUntil(const std::function<bool()> &Done) = 0;

protected:
  static WorkerModel::Builder workerOptions(Executor &Exec) {
    return WorkerModel::Builder(Exec)
        .name(WorkerId("w1"))
        .rack(RackId("r1"))
        .slots(2)
        .usageLag(absl::ZeroDuration())
        .checkpointTime(absl::Milliseconds(20));
  }
};

class FakeBackend final : public ContractBackend {
public:
  FakeBackend() { this->Fleet.add(this->worker(), workerOptions(this->Exec)); }
  WorkerClient &client() override { return this->Client; }
  WorkerModel &model() override { return this->Fleet.model(this->worker()); }
  WorkerFaults &faults() override { return this->Fleet.faults(this->worker()); }
  void setFrozen(bool Frozen) override {
    this->Fleet.setFrozen(this->worker(), Frozen);
  }
  Endpoint worker() const override { return Endpoint("10.0.0.1:80"); }
  Endpoint unusedAddress() const override { return Endpoint("10.0.0.9:80"); }
  bool waitUntil(const std::function<bool()> &Done) override {
    absl::Time End = this->Exec.now() + WaitLimit;
    while (!Done() && this->Exec.now() < End)
      this->Exec.advance(absl::Milliseconds(1));
    return Done();
  }

private:
  VirtualExecutor Exec;
  FakeWorkerFleet Fleet{this->Exec};
  FakeFleetClient Client{this->Exec, this->Fleet};
};

class HttpBackend final : public ContractBackend {
public:
  HttpBackend() {
    this->Server =
        *HttpServer::Builder(this->Loop)
             .address(Endpoint("127.0.0.1:0"))
             .handler([this](HttpRequest Request, auto Responder) {
               this->Service.handle(std::move(Request), std::move(Responder));
             })
             .build();
  }
  WorkerClient &client() override { return this->Client; }
  WorkerModel &model() override { return *this->Model; }
  WorkerFaults &faults() override { return this->Service.faults(); }
  void setFrozen(bool Frozen) override { this->Service.setFrozen(Frozen); }
  Endpoint worker() const override { return this->Server->address(); }
  Endpoint unusedAddress() const override { return Endpoint("127.0.0.1:1"); }
  bool waitUntil(const std::function<bool()> &Done) override {
    absl::Time End = this->Loop.now() + WaitLimit;
    while (!Done() && this->Loop.now() < End) {
      this->Loop.runAfter(absl::Milliseconds(1), [this] { this->Loop.stop(); });
      this->Loop.run();
    }
    return Done();
  }

private:
  LoopExecutor Loop;
  std::unique_ptr<WorkerModel> Model = *workerOptions(this->Loop).build();
  WorkerHttpService Service{this->Loop, *this->Model};
  std::unique_ptr<HttpServer> Server;
  H2oHttpClient Http{this->Loop};
  HttpWorkerClient Client{this->Http, this->Loop};
};

} // namespace vanillayard

#endif
