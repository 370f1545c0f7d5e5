#ifndef VANILLAYARD_STORE_ETCDWATCH_H
#define VANILLAYARD_STORE_ETCDWATCH_H

#include "base/Executor.h"
#include "net/HttpClient.h"
#include "store/Store.h"

#include <memory>
#include <string>
#include <string_view>

namespace vanillayard {

/// A watch that reads its changes from a stream of JSON lines. It ends with
/// PlatformUnavailable if the service does not confirm it within the
/// timeout.
class EtcdWatch final : public StoreWatch {
public:
  /// Maximum line length. A line holds the events of one transaction, with the
  /// values in base64.
  static constexpr size_t MaxLineBytes = 16 << 20;

  EtcdWatch(HttpClient &Http, Executor &Exec, Store::WatchCallback Changed,
            Store::WatchEndCallback Ended);
  ~EtcdWatch() override;

  void start(const Endpoint &Address, HttpRequest Request,
             absl::Duration OpenTimeout);

private:
  /// Kept apart from the watch, as a callback may destroy the watch while a
  /// function of the state still runs.
  struct State {
    State(HttpClient &Http, Executor &Exec) : Http(Http), Exec(Exec) {}

    void receive(std::string_view Chunk);
    void handleLine(std::string_view Line);
    void cancelOpenTimer();
    void close();
    void end(const absl::Status &Status);

    HttpClient &Http;
    Executor &Exec;
    Store::WatchCallback Changed;
    Store::WatchEndCallback Ended;
    HttpClient::CallId Call = 0;
    Executor::TimerId OpenTimer = 0;
    std::string Buffer;
    bool Closed = false;
  };

  std::shared_ptr<State> Shared;
};

} // namespace vanillayard

#endif
