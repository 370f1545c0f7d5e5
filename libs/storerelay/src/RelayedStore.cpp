#include "storerelay/RelayedStore.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/ResultStatus.h"
#include "storerelay/StorePeers.h"
#include "storerelay/StoreRouter.h"

#include <algorithm>
#include <map>
#include <utility>

namespace vanillayard {

static StoreRouter::Outcome outcomeOf(const absl::Status &Status) {
  if (Status.ok())
    return StoreRouter::Outcome::Served;
  ErrorKind Kind = errorKindOf(Status);
  if (Kind == ErrorKind::PlatformUnavailable)
    return StoreRouter::Outcome::Refused;
  return Kind == ErrorKind::OutcomeUnknown ? StoreRouter::Outcome::Unanswered
                                           : StoreRouter::Outcome::Served;
}

class RelayedStore::Impl
    : public std::enable_shared_from_this<RelayedStore::Impl> {
public:
  /// Makes one call on the given store and passes its result to the callback.
  template <typename Result>
  using Operation =
      std::function<void(CoordinationStore &, std::function<void(Result)>)>;

  Impl(Executor &Exec, CoordinationStore &Direct, StorePeers &Peers,
       Log &Events)
      : Exec(Exec), Direct(Direct), Peers(Peers), Events(Events) {}

  template <typename Result>
  void read(Operation<Result> Invoke, std::function<void(Result)> Done) {
    this->call(std::move(Invoke), std::move(Done), /*IsRead=*/true);
  }

  /// \param IsRead the call changes nothing, so it may be made again.
  template <typename Result>
  void call(Operation<Result> Invoke, std::function<void(Result)> Done,
            bool IsRead = false) {
    StoreRouter::Route Selected = this->route();
    if (Selected == StoreRouter::Route::Direct)
      return this->callDirectly(std::move(Invoke), std::move(Done), IsRead);
    this->probeDirectStore();
    if (Selected == StoreRouter::Route::Peer)
      return this->relay(std::move(Invoke), std::move(Done), IsRead);
    this->Exec.post([Done = std::move(Done)] {
      Done(makeError(ErrorKind::PlatformUnavailable,
                     "the store answers neither this host nor its peers"));
    });
  }

private:
  StoreRouter::Route route() const {
    return this->Router.route(this->Peers.count() > 0, this->Exec.now());
  }

  template <typename Result>
  void callDirectly(Operation<Result> Invoke, std::function<void(Result)> Done,
                    bool IsRead) {
    Invoke(this->Direct,
           [Weak = this->weak_from_this(), Invoke, Done = std::move(Done),
            IsRead](Result Answer) mutable {
             std::shared_ptr<Impl> Self = Weak.lock();
             if (!Self)
               return;
             StoreRouter::Outcome Kind = outcomeOf(resultStatus(Answer));
             Self->handleDirectOutcome(Kind);
             if (Kind == StoreRouter::Outcome::Refused &&
                 Self->route() == StoreRouter::Route::Peer)
               return Self->relay(std::move(Invoke), std::move(Done), IsRead);
             Done(std::move(Answer));
           });
  }

  /// Makes a call through peers. A read is made again directly if the store
  /// serves this host again before a peer has answered, because a watch through
  /// a peer that cannot be reached takes seconds to fail.
  template <typename Result>
  void relay(Operation<Result> Invoke, std::function<void(Result)> Done,
             bool IsRead) {
    if (!IsRead)
      return this->callPeer(std::move(Invoke), std::move(Done), 0);
    uint64_t Id = this->NextRelayedRead++;
    this->RelayedReads[Id] = [this, Invoke, Done] {
      this->callDirectly(Invoke, Done, /*IsRead=*/true);
    };
    std::function<void(Result)> First = [Weak = this->weak_from_this(), Id,
                                         Done](Result Answer) {
      std::shared_ptr<Impl> Self = Weak.lock();
      if (Self && Self->RelayedReads.erase(Id) > 0)
        Done(std::move(Answer));
    };
    this->callPeer(std::move(Invoke), std::move(First), 0);
  }

  void repeatRelayedReads() {
    for (auto &[Id, Repeat] : std::exchange(this->RelayedReads, {}))
      Repeat();
  }

  /// \param Asked number of peers that have refused this call.
  template <typename Result>
  void callPeer(Operation<Result> Invoke, std::function<void(Result)> Done,
                size_t Asked) {
    std::shared_ptr<CoordinationStore> Peer = this->Peers.firstPeer();
    // The list of peers can have become shorter since the first one was asked.
    if (!Peer || Asked >= std::min(MaxPeersAsked, this->Peers.count())) {
      this->Router.startPeerBackoff(this->Exec.now());
      return Done(
          makeError(ErrorKind::PlatformUnavailable,
                    "the store serves neither this host nor the peers asked"));
    }
    CoordinationStore &Target = *Peer;
    Invoke(Target, [Weak = this->weak_from_this(), Peer = std::move(Peer),
                    Invoke, Done = std::move(Done),
                    Asked](Result Answer) mutable {
      std::shared_ptr<Impl> Self = Weak.lock();
      if (!Self)
        return;
      StoreRouter::Outcome Kind = outcomeOf(resultStatus(Answer));
      Self->Router.recordPeerOutcome(Kind, Self->Exec.now());
      if (Kind != StoreRouter::Outcome::Served)
        Self->Peers.demote(*Peer);
      if (Kind == StoreRouter::Outcome::Refused)
        return Self->callPeer(std::move(Invoke), std::move(Done), Asked + 1);
      Done(std::move(Answer));
    });
  }

  /// Sends a direct read to find out whether the store serves this host again.
  /// The key does not matter.
  void probeDirectStore() {
    if (!this->Router.startProbeIfDue(this->Exec.now()))
      return;
    this->Direct.get(std::string(RecordKeys::Leader),
                     [Weak = this->weak_from_this()](
                         absl::StatusOr<std::optional<StoreItem>> Answer) {
                       if (std::shared_ptr<Impl> Self = Weak.lock())
                         Self->handleDirectOutcome(outcomeOf(Answer.status()));
                     });
  }

  void handleDirectOutcome(StoreRouter::Outcome Kind) {
    bool WasDown = this->Router.isDirectDown();
    this->Router.recordDirectOutcome(Kind);
    if (this->Router.isDirectDown() == WasDown)
      return;
    if (WasDown) {
      this->Events.info("store", "the store serves this host again", {});
      this->repeatRelayedReads();
    } else {
      this->Events.warning(
          "store", "the store does not serve this host",
          {{"answer",
            Kind == StoreRouter::Outcome::Refused ? "refused" : "missing"},
           {"peers", this->Peers.count()}});
    }
  }

  Executor &Exec;
  CoordinationStore &Direct;
  StorePeers &Peers;
  Log &Events;
  StoreRouter Router;
  uint64_t NextRelayedRead = 1;
  /// Reads that peers have not answered yet, with what makes them again.
  std::map<uint64_t, std::function<void()>> RelayedReads;
};

RelayedStore::RelayedStore(Executor &Exec, CoordinationStore &Direct,
                           StorePeers &Peers, Log &Events)
    : Implementation(std::make_shared<Impl>(Exec, Direct, Peers, Events)) {}

RelayedStore::~RelayedStore() = default;

void RelayedStore::get(const std::string &Key, GetCallback Done) {
  this->Implementation->read<absl::StatusOr<std::optional<StoreItem>>>(
      [Key](CoordinationStore &Store, GetCallback Callback) {
        Store.get(Key, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::list(const std::string &Prefix, ListCallback Done) {
  this->Implementation->read<absl::StatusOr<StoreListing>>(
      [Prefix](CoordinationStore &Store, ListCallback Callback) {
        Store.list(Prefix, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::awaitChanges(const std::string &Prefix, int64_t After,
                                absl::Duration Wait, ChangesCallback Done) {
  this->Implementation->read<absl::StatusOr<StoreChanges>>(
      [Prefix, After, Wait](CoordinationStore &Store,
                            ChangesCallback Callback) {
        Store.awaitChanges(Prefix, After, Wait, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::commit(StoreTransaction Transaction, CommitCallback Done) {
  this->Implementation->call<absl::StatusOr<StoreCommit>>(
      [Transaction = std::move(Transaction)](CoordinationStore &Store,
                                             CommitCallback Callback) {
        Store.commit(Transaction, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::grantLease(absl::Duration TimeToLive, LeaseCallback Done) {
  this->Implementation->call<absl::StatusOr<int64_t>>(
      [TimeToLive](CoordinationStore &Store, LeaseCallback Callback) {
        Store.grantLease(TimeToLive, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::renewLease(int64_t Lease, DoneCallback Done) {
  this->Implementation->call<absl::Status>(
      [Lease](CoordinationStore &Store, DoneCallback Callback) {
        Store.renewLease(Lease, std::move(Callback));
      },
      std::move(Done));
}

void RelayedStore::endLease(int64_t Lease, DoneCallback Done) {
  this->Implementation->call<absl::Status>(
      [Lease](CoordinationStore &Store, DoneCallback Callback) {
        Store.endLease(Lease, std::move(Callback));
      },
      std::move(Done));
}

} // namespace vanillayard
