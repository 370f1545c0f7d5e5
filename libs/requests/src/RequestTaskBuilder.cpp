#include "requests/RequestTask.h"

#include "RequestTaskImpl.h"
#include "base/ErrorKind.h"

namespace vanillayard {

using Builder = RequestTask::Builder;

Builder &Builder::host(HostId Value) {
  this->Host = std::move(Value);
  return *this;
}

Builder &Builder::dataCentre(DataCentreId Value) {
  this->DataCentre = std::move(Value);
  return *this;
}

Builder &Builder::forwarder(RequestForwarder *Value) {
  this->Forwarder = Value;
  return *this;
}

Builder &Builder::seed(uint64_t Value) {
  this->Seed = Value;
  return *this;
}

Builder &Builder::storeTimeout(absl::Duration Value) {
  this->StoreTimeout = Value;
  return *this;
}

Builder &Builder::hedging(bool Value) {
  this->Hedging = Value;
  return *this;
}

Builder &Builder::queueOrder(QueueOrder Value) {
  this->Order = Value;
  return *this;
}

Builder &Builder::workerChoice(WorkerChoice Value) {
  this->WorkerSelection = Value;
  return *this;
}

Builder &Builder::concurrencyControl(ConcurrencyControl Value) {
  this->Concurrency = Value;
  return *this;
}

Builder &Builder::retryControl(RetryControl Value) {
  this->Retries = Value;
  return *this;
}

Builder &Builder::healthControl(HealthControl Value) {
  this->Health = Value;
  return *this;
}

Builder &Builder::dataCentreChoice(DataCentreChoice Value) {
  this->Routing = Value;
  return *this;
}

absl::StatusOr<std::unique_ptr<RequestTask>> Builder::build() const {
  if (this->Host.empty() || this->DataCentre.empty())
    return makeError(
        ErrorKind::InvalidRequest,
        "a request task needs the id of its host and of its data centre");
  return std::unique_ptr<RequestTask>(std::make_unique<RequestTaskImpl>(*this));
}

} // namespace vanillayard
