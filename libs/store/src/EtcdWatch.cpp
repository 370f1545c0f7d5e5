#include "EtcdWatch.h"

#include "EtcdJson.h"
#include "base/JsonText.h"

#include <utility>

namespace vanillayard {

using nlohmann::json;

EtcdWatch::EtcdWatch(HttpClient &Http, Executor &Exec,
                     Store::WatchCallback Changed,
                     Store::WatchEndCallback Ended)
    : Shared(std::make_shared<State>(Http, Exec)) {
  this->Shared->Changed = std::move(Changed);
  this->Shared->Ended = std::move(Ended);
}

EtcdWatch::~EtcdWatch() {
  this->Shared->close();
}

void EtcdWatch::start(const Endpoint &Address, HttpRequest Request,
                      absl::Duration OpenTimeout) {
  std::shared_ptr<State> S = this->Shared;
  S->OpenTimer = S->Exec.runAfter(OpenTimeout, [S] {
    S->OpenTimer = 0;
    S->end(platformError("the key-value service did not confirm the watch in "
                         "time"));
  });
  S->Call = S->Http.stream(
      Address, std::move(Request),
      [S](std::string_view Chunk) { S->receive(Chunk); },
      [S](const absl::Status &Status) {
        S->end(platformError("the stream of the watch ended: " +
                             std::string(Status.message())));
      });
}

void EtcdWatch::State::receive(std::string_view Chunk) {
  this->Buffer += Chunk;
  size_t Begin = 0;
  size_t End = 0;
  while (!this->Closed &&
         (End = this->Buffer.find('\n', Begin)) != std::string::npos) {
    this->handleLine(std::string_view(this->Buffer).substr(Begin, End - Begin));
    Begin = End + 1;
  }
  this->Buffer.erase(0, Begin);
  if (this->Buffer.size() > MaxLineBytes)
    this->end(platformError(
        "a line of the watch stream is longer than MaxLineBytes"));
}

void EtcdWatch::State::handleLine(std::string_view Line) {
  json Message = parseUntrustedJson(Line);
  if (!Message.is_object() || !Message.contains("result") ||
      !Message["result"].is_object()) {
    this->end(platformError("expected a watch result, received: " +
                            std::string(Line.substr(0, 200))));
    return;
  }
  const json &Result = Message["result"];
  if (Result.contains("canceled") && Result["canceled"] == true) {
    this->end(platformError("the key-value service cancelled the watch"));
    return;
  }
  this->cancelOpenTimer();
  absl::StatusOr<std::vector<WatchEvent>> Events = parseEvents(Result);
  if (!Events.ok())
    this->end(Events.status());
  else if (!Events->empty())
    this->Changed(std::move(*Events));
}

void EtcdWatch::State::cancelOpenTimer() {
  if (this->OpenTimer)
    this->Exec.cancel(this->OpenTimer);
  this->OpenTimer = 0;
}

void EtcdWatch::State::close() {
  if (this->Closed)
    return;
  this->Closed = true;
  this->cancelOpenTimer();
  this->Http.cancel(this->Call);
}

void EtcdWatch::State::end(const absl::Status &Status) {
  if (this->Closed)
    return;
  this->close();
  Store::WatchEndCallback Callback = std::move(this->Ended);
  Callback(Status);
}

} // namespace vanillayard
