#include "LinkedStore.h"

#include "base/ErrorKind.h"
#include "net/FramedLink.h"
#include "net/LoopExecutor.h"
#include "storerelay/RelayCodec.h"

#include <map>
#include <utility>

namespace vanillayard {

class LinkedStore::Impl
    : public std::enable_shared_from_this<LinkedStore::Impl> {
public:
  using ReplyCallback = std::function<void(StoreReply)>;

  Impl(LoopExecutor &Loop, const Endpoint &Peer) : Loop(Loop), Peer(Peer) {}

  void call(StoreCall Request, ReplyCallback Done);

private:
  struct PendingCall {
    std::string Message;
    ReplyCallback Done;
    Executor::TimerId Timer = 0;
    bool IsSent = false;
  };

  void connect();
  void connected(absl::StatusOr<std::unique_ptr<FramedLink>> Result,
                 uint64_t Attempt);
  void send(PendingCall &Call);
  void received(const std::string &Message);
  void expired(int64_t Id);
  void finish(int64_t Id, StoreReply Reply);
  void drop(const absl::Status &Reason);
  void closeIfIdle();

  LoopExecutor &Loop;
  Endpoint Peer;
  std::unique_ptr<FramedLink> Link;
  bool IsConnecting = false;
  /// Changes with each connection, so that late results are recognized.
  uint64_t Connection = 0;
  int64_t NextId = 1;
  std::map<int64_t, PendingCall> Calls;
  absl::Time LastUsed;
};

void LinkedStore::Impl::call(StoreCall Request, ReplyCallback Done) {
  Request.Id = this->NextId++;
  absl::StatusOr<std::string> Message = RelayCodec::encode(Request);
  if (!Message.ok()) {
    StoreReply Refusal;
    Refusal.Status =
        makeError(ErrorKind::Internal, std::string(Message.status().message()));
    this->Loop.post([Done = std::move(Done), Refusal] { Done(Refusal); });
    return;
  }
  bool IsWatch = Request.Operation == StoreOperation::AwaitChanges;
  absl::Duration Timeout =
      ReplyTimeout + (IsWatch ? Request.Time : absl::ZeroDuration());
  PendingCall &Call = this->Calls[Request.Id];
  Call.Message = *std::move(Message);
  Call.Done = std::move(Done);
  Call.Timer = this->Loop.runAfter(
      Timeout, [Weak = this->weak_from_this(), Id = Request.Id] {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->expired(Id);
      });
  this->LastUsed = this->Loop.now();
  if (this->Link)
    this->send(Call);
  else if (!this->IsConnecting)
    this->connect();
}

void LinkedStore::Impl::connect() {
  this->IsConnecting = true;
  uint64_t Attempt = ++this->Connection;
  connectFramed(this->Loop, this->Peer,
                [Weak = this->weak_from_this(),
                 Attempt](absl::StatusOr<std::unique_ptr<FramedLink>> Result) {
                  if (std::shared_ptr<Impl> Self = Weak.lock())
                    Self->connected(std::move(Result), Attempt);
                });
  this->Loop.runAfter(ConnectTimeout, [Weak = this->weak_from_this(), Attempt] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->IsConnecting && Self->Connection == Attempt)
      Self->drop(absl::UnavailableError("no connection in time"));
  });
}

void LinkedStore::Impl::connected(
    absl::StatusOr<std::unique_ptr<FramedLink>> Result, uint64_t Attempt) {
  if (!this->IsConnecting || this->Connection != Attempt)
    return;
  if (!Result.ok())
    return this->drop(Result.status());
  this->IsConnecting = false;
  this->Link = *std::move(Result);
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Link->onEvents(
      [Weak](const std::string &Message) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->received(Message);
      },
      [Weak, Attempt](const absl::Status &Reason) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->Connection == Attempt)
          Self->drop(Reason);
      });
  for (auto &[Id, Call] : this->Calls)
    if (!Call.IsSent)
      this->send(Call);
  this->closeIfIdle();
}

/// A message that the link refuses stays unsent until its time is over.
void LinkedStore::Impl::send(PendingCall &Call) {
  Call.IsSent = this->Link->send(Call.Message).ok();
}

void LinkedStore::Impl::received(const std::string &Message) {
  absl::StatusOr<StoreReply> Reply = RelayCodec::decodeReply(Message);
  if (!Reply.ok())
    return this->drop(Reply.status());
  int64_t Id = Reply->Id;
  this->finish(Id, *std::move(Reply));
}

/// The other host always replies earlier, so the link has gone silent.
void LinkedStore::Impl::expired(int64_t Id) {
  if (this->Calls.contains(Id))
    this->drop(absl::DeadlineExceededError("no reply in time"));
}

void LinkedStore::Impl::finish(int64_t Id, StoreReply Reply) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  ReplyCallback Done = std::move(Found->second.Done);
  this->Calls.erase(Found);
  Done(std::move(Reply));
}

/// Closes the link and fails all calls.
void LinkedStore::Impl::drop(const absl::Status &Reason) {
  ++this->Connection;
  this->IsConnecting = false;
  this->Link.reset();
  std::map<int64_t, PendingCall> Failed = std::exchange(this->Calls, {});
  for (auto &[Id, Call] : Failed) {
    this->Loop.cancel(Call.Timer);
    StoreReply Reply;
    Reply.Status = makeError(Call.IsSent ? ErrorKind::OutcomeUnknown
                                         : ErrorKind::PlatformUnavailable,
                             std::string(Reason.message()));
    Call.Done(std::move(Reply));
  }
}

void LinkedStore::Impl::closeIfIdle() {
  if (!this->Link)
    return;
  if (this->Calls.empty() && this->Loop.now() - this->LastUsed >= IdleTime)
    return this->drop(absl::CancelledError("idle"));
  this->Loop.runAfter(
      IdleTime, [Weak = this->weak_from_this(), Expected = this->Connection] {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->Connection == Expected)
          Self->closeIfIdle();
      });
}

LinkedStore::LinkedStore(LoopExecutor &Loop, const Endpoint &Peer)
    : Implementation(std::make_shared<Impl>(Loop, Peer)) {}

LinkedStore::~LinkedStore() = default;

void LinkedStore::get(const std::string &Key, GetCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::Get;
  Call.Key = Key;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](StoreReply Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               if (Reply.Items.empty())
                                 return Done(std::nullopt);
                               Done(std::move(Reply.Items.front().Item));
                             });
}

void LinkedStore::list(const std::string &Prefix, ListCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::List;
  Call.Key = Prefix;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](StoreReply Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               StoreListing Listing;
                               Listing.Revision = Reply.Revision;
                               for (StoreChange &Row : Reply.Items)
                                 Listing.Items.push_back(std::move(Row.Item));
                               Done(std::move(Listing));
                             });
}

void LinkedStore::awaitChanges(const std::string &Prefix, int64_t After,
                               absl::Duration Wait, ChangesCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::AwaitChanges;
  Call.Key = Prefix;
  Call.Revision = After;
  Call.Time = Wait;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](StoreReply Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               StoreChanges Changes;
                               Changes.Revision = Reply.Revision;
                               Changes.IsHistoryLost = Reply.IsHistoryLost;
                               Changes.Changes = std::move(Reply.Items);
                               Done(std::move(Changes));
                             });
}

void LinkedStore::commit(StoreTransaction Transaction, CommitCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::Commit;
  Call.Transaction = std::move(Transaction);
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](StoreReply Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               StoreCommit Commit;
                               Commit.IsApplied = Reply.IsApplied;
                               Commit.Revision = Reply.Revision;
                               for (StoreChange &Row : Reply.Items)
                                 Commit.Found.push_back(std::move(Row.Item));
                               Done(std::move(Commit));
                             });
}

void LinkedStore::grantLease(absl::Duration TimeToLive, LeaseCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::GrantLease;
  Call.Time = TimeToLive;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               Done(Reply.Lease);
                             });
}

void LinkedStore::keepLease(int64_t Lease, DoneCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::KeepLease;
  Call.Lease = Lease;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               Done(Reply.Status);
                             });
}

void LinkedStore::endLease(int64_t Lease, DoneCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::EndLease;
  Call.Lease = Lease;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               Done(Reply.Status);
                             });
}

} // namespace vanillayard
