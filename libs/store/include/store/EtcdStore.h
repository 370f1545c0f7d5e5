#ifndef VANILLAYARD_STORE_ETCDSTORE_H
#define VANILLAYARD_STORE_ETCDSTORE_H

#include "base/Ids.h"
#include "net/HttpClient.h"
#include "store/Store.h"

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class Executor;

/// Store over the etcd v3 HTTP/JSON gateway.
///
/// A batch of writes is sent as one transaction with a nested transaction for
/// each write. Destroying the store cancels its calls without running their
/// callbacks. Its watches must be destroyed before the HTTP client.
class EtcdStore final : public Store {
public:
  /// Maximum number of writes in one call; a longer batch is sent in several
  /// calls. etcd accepts at most 128 operations in a transaction by default.
  static constexpr size_t MaxWritesPerCall = 100;
  /// Maximum total size of the keys and values in one call with several
  /// writes. etcd accepts requests of up to 1.5 MB by default.
  static constexpr size_t MaxBytesPerCall = 1000000;
  /// Maximum number of keys that list() reads in one call; a longer list takes
  /// several calls, all at the revision of the first.
  static constexpr int KeysPerPage = 200;

  /// \param Timeout time after which a call fails, or a watch that the
  ///        service has not confirmed.
  EtcdStore(HttpClient &Http, Executor &Exec, Endpoint Address,
            absl::Duration Timeout);
  ~EtcdStore() override;
  EtcdStore(const EtcdStore &) = delete;
  EtcdStore &operator=(const EtcdStore &) = delete;

  void get(const std::string &Key, RangeCallback Done) override;
  void getChanged(const std::string &Key, int64_t Since,
                  RangeCallback Done) override;
  void list(const std::string &Prefix, RangeCallback Done) override;
  void write(std::vector<ConditionalWrite> Writes, WriteCallback Done) override;
  std::unique_ptr<StoreWatch> watch(const std::string &Prefix,
                                    int64_t FromRevision, WatchCallback Changed,
                                    WatchEndCallback Ended) override;

private:
  struct ListState;
  struct Batch;

  using JsonCallback = std::function<void(absl::StatusOr<nlohmann::json>)>;

  void call(const std::string &Path, const nlohmann::json &Body,
            JsonCallback Done);
  void readNextPage(std::shared_ptr<ListState> State);
  void sendPart(const std::shared_ptr<Batch> &All, size_t First, size_t Count);

  HttpClient &Http;
  Executor &Exec;
  Endpoint Address;
  absl::Duration Timeout;
  absl::flat_hash_set<HttpClient::CallId> OpenCalls;
};

} // namespace vanillayard

#endif
