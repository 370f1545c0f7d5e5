#include "storerelay/RelayedStore.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/ResultStatus.h"
#include "storerelay/StorePath.h"
#include "storerelay/StorePeers.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

static StorePath::Answer answerOf(const absl::Status &Status) {
  if (Status.ok())
    return StorePath::Answer::Served;
  ErrorKind Kind = errorKindOf(Status);
  if (Kind == ErrorKind::PlatformUnavailable)
    return StorePath::Answer::Refused;
  return Kind == ErrorKind::OutcomeUnknown ? StorePath::Answer::Missing
                                           : StorePath::Answer::Served;
}

class RelayedStore::Impl
    : public std::enable_shared_from_this<RelayedStore::Impl> {
public:
  /// Makes one call on the store that it is given.
  template <typename Result>
  using Operation =
      std::function<void(CoordinationStore &, std::function<void(Result)>)>;

  Impl(Executor &Exec, CoordinationStore &Direct, StorePeers &Peers,
       Log &Events)
      : Exec(Exec), Direct(Direct), Peers(Peers), Events(Events) {}

  template <typename Result>
  void call(Operation<Result> Make, std::function<void(Result)> Done) {
    StorePath::Route Way = this->route();
    if (Way == StorePath::Route::Direct)
      return this->callDirectly(std::move(Make), std::move(Done));
    this->probe();
    if (Way == StorePath::Route::Peer)
      return this->callPeer(std::move(Make), std::move(Done), 0);
    this->Exec.post([Done = std::move(Done)] {
      Done(makeError(ErrorKind::PlatformUnavailable,
                     "the store answers neither this host nor others"));
    });
  }

private:
  StorePath::Route route() const {
    return this->Path.route(this->Peers.count() > 0, this->Exec.now());
  }

  template <typename Result>
  void callDirectly(Operation<Result> Make, std::function<void(Result)> Done) {
    Make(this->Direct, [Weak = this->weak_from_this(), Make,
                        Done = std::move(Done)](Result Answer) mutable {
      std::shared_ptr<Impl> Self = Weak.lock();
      if (!Self)
        return;
      StorePath::Answer Kind = answerOf(resultStatus(Answer));
      Self->noteDirect(Kind);
      if (Kind == StorePath::Answer::Refused &&
          Self->route() == StorePath::Route::Peer)
        return Self->callPeer(std::move(Make), std::move(Done), 0);
      Done(std::move(Answer));
    });
  }

  /// \param Asked peers that have refused this call.
  template <typename Result>
  void callPeer(Operation<Result> Make, std::function<void(Result)> Done,
                size_t Asked) {
    std::shared_ptr<CoordinationStore> Peer = this->Peers.first();
    if (!Peer || Asked == std::min(MaxPeersAsked, this->Peers.count())) {
      this->Path.peersNotServed(this->Exec.now());
      return Done(makeError(ErrorKind::PlatformUnavailable,
                            "the store serves neither this host nor others"));
    }
    CoordinationStore &Target = *Peer;
    Make(Target, [Weak = this->weak_from_this(), Peer = std::move(Peer), Make,
                  Done = std::move(Done), Asked](Result Answer) mutable {
      std::shared_ptr<Impl> Self = Weak.lock();
      if (!Self)
        return;
      StorePath::Answer Kind = answerOf(resultStatus(Answer));
      Self->Path.peerAnswered(Kind, Self->Exec.now());
      if (Kind != StorePath::Answer::Served)
        Self->Peers.demote(*Peer);
      if (Kind == StorePath::Answer::Refused)
        return Self->callPeer(std::move(Make), std::move(Done), Asked + 1);
      Done(std::move(Answer));
    });
  }

  /// Any read will do to see whether the store serves this host again.
  void probe() {
    if (!this->Path.takeProbe(this->Exec.now()))
      return;
    this->Direct.get(std::string(RecordKeys::Leader),
                     [Weak = this->weak_from_this()](
                         absl::StatusOr<std::optional<StoreItem>> Answer) {
                       if (std::shared_ptr<Impl> Self = Weak.lock())
                         Self->noteDirect(answerOf(Answer.status()));
                     });
  }

  void noteDirect(StorePath::Answer Kind) {
    bool WasDown = this->Path.isDirectDown();
    this->Path.directAnswered(Kind);
    if (this->Path.isDirectDown() == WasDown)
      return;
    if (WasDown)
      this->Events.info("store", "the store serves this host again", {});
    else
      this->Events.warning(
          "store", "the store does not serve this host",
          {{"answer",
            Kind == StorePath::Answer::Refused ? "refused" : "missing"},
           {"peers", this->Peers.count()}});
  }

  Executor &Exec;
  CoordinationStore &Direct;
  StorePeers &Peers;
  Log &Events;
  StorePath Path;
};

RelayedStore::RelayedStore(Executor &Exec, CoordinationStore &Direct,
                           StorePeers &Peers, Log &Events)
    : Implementation(std::make_shared<Impl>(Exec, Direct, Peers, Events)) {}

RelayedStore::~RelayedStore() = default;

void RelayedStore::get(const std::string &Key, GetCallback Done) {
  this->Implementation->call<absl::StatusOr<std::optional<StoreItem>>>(
      [Key](CoordinationStore &Store, GetCallback Answer) {
        Store.get(Key, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::list(const std::string &Prefix, ListCallback Done) {
  this->Implementation->call<absl::StatusOr<StoreListing>>(
      [Prefix](CoordinationStore &Store, ListCallback Answer) {
        Store.list(Prefix, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::awaitChanges(const std::string &Prefix, int64_t After,
                                absl::Duration Wait, ChangesCallback Done) {
  this->Implementation->call<absl::StatusOr<StoreChanges>>(
      [Prefix, After, Wait](CoordinationStore &Store, ChangesCallback Answer) {
        Store.awaitChanges(Prefix, After, Wait, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::commit(StoreTransaction Transaction, CommitCallback Done) {
  this->Implementation->call<absl::StatusOr<StoreCommit>>(
      [Transaction = std::move(Transaction)](CoordinationStore &Store,
                                             CommitCallback Answer) {
        Store.commit(Transaction, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::grantLease(absl::Duration TimeToLive, LeaseCallback Done) {
  this->Implementation->call<absl::StatusOr<int64_t>>(
      [TimeToLive](CoordinationStore &Store, LeaseCallback Answer) {
        Store.grantLease(TimeToLive, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::keepLease(int64_t Lease, DoneCallback Done) {
  this->Implementation->call<absl::Status>(
      [Lease](CoordinationStore &Store, DoneCallback Answer) {
        Store.keepLease(Lease, std::move(Answer));
      },
      std::move(Done));
}

void RelayedStore::endLease(int64_t Lease, DoneCallback Done) {
  this->Implementation->call<absl::Status>(
      [Lease](CoordinationStore &Store, DoneCallback Answer) {
        Store.endLease(Lease, std::move(Answer));
      },
      std::move(Done));
}

} // namespace vanillayard
