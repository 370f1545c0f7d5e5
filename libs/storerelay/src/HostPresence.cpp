#include "storerelay/HostPresence.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <utility>

namespace vanillayard {

/// Pause after a call to the store that failed.
static constexpr absl::Duration RetryDelay = absl::Seconds(1);
/// The first reading waits for the hosts that start at the same time.
static constexpr absl::Duration FirstListDelay = absl::Seconds(2);

class HostPresence::Impl
    : public std::enable_shared_from_this<HostPresence::Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, HostId Host, Log &Events)
      : Exec(Exec), Store(Store), Host(std::move(Host)), Events(Events) {}

  void later(absl::Duration Delay, void (Impl::*Step)());
  void announce();
  void write(int64_t NewLease);
  void renew();
  void list();

  Executor &Exec;
  CoordinationStore &Store;
  HostId Host;
  Log &Events;
  Endpoint Address;
  PeersCallback Changed;
  int64_t Lease = 0;
  bool HasLeft = false;
};

void HostPresence::Impl::later(absl::Duration Delay, void (Impl::*Step)()) {
  this->Exec.runAfter(Delay, [Weak = this->weak_from_this(), Step] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && !Self->HasLeft)
      (Self.get()->*Step)();
  });
}

void HostPresence::Impl::announce() {
  this->Store.grantLease(TimeToLive, [Weak = this->weak_from_this()](
                                         absl::StatusOr<int64_t> NewLease) {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || Self->HasLeft)
      return;
    if (NewLease.ok())
      Self->write(*NewLease);
    else
      Self->later(RetryDelay, &Impl::announce);
  });
}

void HostPresence::Impl::write(int64_t NewLease) {
  StoreTransaction Entry;
  Entry.Puts.push_back(
      {RecordKeys::host(this->Host), this->Address.str(), NewLease});
  this->Store.commit(std::move(Entry),
                     [Weak = this->weak_from_this(),
                      NewLease](absl::StatusOr<StoreCommit> Result) {
                       std::shared_ptr<Impl> Self = Weak.lock();
                       if (!Self || Self->HasLeft)
                         return;
                       if (!Result.ok())
                         return Self->later(RetryDelay, &Impl::announce);
                       Self->Lease = NewLease;
                       Self->later(RenewalInterval, &Impl::renew);
                     });
}

void HostPresence::Impl::renew() {
  this->Store.keepLease(
      this->Lease, [Weak = this->weak_from_this()](const absl::Status &Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->HasLeft)
          return;
        if (Result.ok())
          Self->later(RenewalInterval, &Impl::renew);
        else if (errorKindOf(Result) == ErrorKind::NotFound)
          Self->announce();
        else
          Self->later(RetryDelay, &Impl::renew);
      });
}

void HostPresence::Impl::list() {
  this->Store.list(
      std::string(RecordKeys::HostPrefix),
      [Weak = this->weak_from_this()](absl::StatusOr<StoreListing> Listing) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->HasLeft)
          return;
        if (!Listing.ok())
          return Self->later(RetryDelay, &Impl::list);
        std::vector<Endpoint> Others;
        for (const StoreItem &Item : Listing->Items)
          if (Item.Key != RecordKeys::host(Self->Host))
            Others.emplace_back(Item.Value);
        Self->Changed(Others);
        Self->later(ListInterval, &Impl::list);
      });
}

HostPresence::HostPresence(Executor &Exec, CoordinationStore &Store,
                           HostId Host, Log &Events)
    : Implementation(
          std::make_shared<Impl>(Exec, Store, std::move(Host), Events)) {}

HostPresence::~HostPresence() = default;

void HostPresence::start(const Endpoint &Address, PeersCallback Changed) {
  Impl &I = *this->Implementation;
  I.Address = Address;
  I.Changed = std::move(Changed);
  I.announce();
  I.later(FirstListDelay, &Impl::list);
}

void HostPresence::leave() {
  Impl &I = *this->Implementation;
  if (std::exchange(I.HasLeft, true) || I.Lease == 0)
    return;
  // The lease runs out by itself if this call fails.
  I.Store.endLease(I.Lease, [Weak = I.weak_from_this()](absl::Status Result) {
    if (std::shared_ptr<Impl> Self = Weak.lock(); Self && !Result.ok())
      Self->Events.info("store", "this host could not be taken off the list",
                        {{"error", Result}});
  });
}

} // namespace vanillayard
