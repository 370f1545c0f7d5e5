#include "storerelay/HostPresence.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <utility>

namespace vanillayard {

/// Delay before a failed store call is retried.
static constexpr absl::Duration RetryDelay = absl::Seconds(1);
/// Delay before the first read of the host list, so that it includes hosts
/// that start at the same time.
static constexpr absl::Duration FirstListDelay = absl::Seconds(2);

class HostPresence::Impl
    : public std::enable_shared_from_this<HostPresence::Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, HostId Host, Log &Events)
      : Exec(Exec), Store(Store), Host(std::move(Host)), Events(Events) {}

  void scheduleStep(absl::Duration Delay, void (Impl::*Step)());
  void registerHost();
  void writeEntry(int64_t NewLease);
  void renewLease();
  void listHosts();

  Executor &Exec;
  CoordinationStore &Store;
  HostId Host;
  Log &Events;
  Endpoint Address;
  PeersCallback OnListed;
  int64_t Lease = 0;
  bool HasLeft = false;
};

void HostPresence::Impl::scheduleStep(absl::Duration Delay,
                                      void (Impl::*Step)()) {
  this->Exec.runAfter(Delay, [Weak = this->weak_from_this(), Step] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && !Self->HasLeft)
      (Self.get()->*Step)();
  });
}

void HostPresence::Impl::registerHost() {
  this->Store.grantLease(TimeToLive, [Weak = this->weak_from_this()](
                                         absl::StatusOr<int64_t> NewLease) {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || Self->HasLeft)
      return;
    if (NewLease.ok())
      Self->writeEntry(*NewLease);
    else
      Self->scheduleStep(RetryDelay, &Impl::registerHost);
  });
}

void HostPresence::Impl::writeEntry(int64_t NewLease) {
  StoreTransaction Entry;
  Entry.Puts.push_back(
      {RecordKeys::host(this->Host), this->Address.str(), NewLease});
  this->Store.commit(
      std::move(Entry), [Weak = this->weak_from_this(),
                         NewLease](absl::StatusOr<StoreCommit> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->HasLeft)
          return;
        if (!Result.ok())
          return Self->scheduleStep(RetryDelay, &Impl::registerHost);
        Self->Lease = NewLease;
        Self->scheduleStep(RenewalInterval, &Impl::renewLease);
      });
}

void HostPresence::Impl::renewLease() {
  this->Store.renewLease(
      this->Lease, [Weak = this->weak_from_this()](const absl::Status &Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->HasLeft)
          return;
        if (Result.ok())
          Self->scheduleStep(RenewalInterval, &Impl::renewLease);
        else if (errorKindOf(Result) == ErrorKind::NotFound)
          Self->registerHost();
        else
          Self->scheduleStep(RetryDelay, &Impl::renewLease);
      });
}

void HostPresence::Impl::listHosts() {
  this->Store.list(
      std::string(RecordKeys::HostPrefix),
      [Weak = this->weak_from_this()](absl::StatusOr<StoreListing> Listing) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->HasLeft)
          return;
        if (!Listing.ok())
          return Self->scheduleStep(RetryDelay, &Impl::listHosts);
        std::vector<Endpoint> Others;
        for (const StoreItem &Item : Listing->Items)
          if (Item.Key != RecordKeys::host(Self->Host))
            Others.emplace_back(Item.Value);
        Self->OnListed(Others);
        Self->scheduleStep(ListInterval, &Impl::listHosts);
      });
}

HostPresence::HostPresence(Executor &Exec, CoordinationStore &Store,
                           HostId Host, Log &Events)
    : Implementation(
          std::make_shared<Impl>(Exec, Store, std::move(Host), Events)) {}

HostPresence::~HostPresence() = default;

void HostPresence::start(const Endpoint &Address, PeersCallback OnListed) {
  Impl &I = *this->Implementation;
  I.Address = Address;
  I.OnListed = std::move(OnListed);
  I.registerHost();
  I.scheduleStep(FirstListDelay, &Impl::listHosts);
}

void HostPresence::leave() {
  Impl &I = *this->Implementation;
  if (std::exchange(I.HasLeft, true) || I.Lease == 0)
    return;
  // If this call fails, the lease expires after TimeToLive.
  I.Store.endLease(I.Lease, [Weak = I.weak_from_this()](absl::Status Result) {
    if (std::shared_ptr<Impl> Self = Weak.lock(); Self && !Result.ok())
      Self->Events.info("store",
                        "failed to remove this host from the host list",
                        {{"error", Result}});
  });
}

} // namespace vanillayard
