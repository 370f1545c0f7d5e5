#include "RelayClient.h"

#include "base/ErrorKind.h"
#include "net/FramedLink.h"
#include "net/LoopExecutor.h"
#include "storerelay/RelayCodec.h"

#include <map>
#include <utility>

namespace vanillayard {

class RelayClient::Impl
    : public std::enable_shared_from_this<RelayClient::Impl> {
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
  void handleConnectResult(absl::StatusOr<std::unique_ptr<FramedLink>> Result,
                           uint64_t Attempt);
  void sendCall(PendingCall &Call);
  void handleReply(const std::string &Message);
  void handleTimeout(int64_t Id);
  void completeCall(int64_t Id, StoreReply Reply);
  void closeAndFailCalls(const absl::Status &Reason);
  void closeIfIdle();

  LoopExecutor &Loop;
  Endpoint Peer;
  std::unique_ptr<FramedLink> Link;
  bool IsConnecting = false;
  /// Incremented with each connection attempt and each close, so that results
  /// of earlier connections are ignored.
  uint64_t ConnectionGeneration = 0;
  int64_t NextId = 1;
  std::map<int64_t, PendingCall> Calls;
  absl::Time LastUsed;
};

void RelayClient::Impl::call(StoreCall Request, ReplyCallback Done) {
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
      ReplyTimeout + (IsWatch ? Request.Duration : absl::ZeroDuration());
  PendingCall &Call = this->Calls[Request.Id];
  Call.Message = *std::move(Message);
  Call.Done = std::move(Done);
  Call.Timer = this->Loop.runAfter(
      Timeout, [Weak = this->weak_from_this(), Id = Request.Id] {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->handleTimeout(Id);
      });
  this->LastUsed = this->Loop.now();
  if (this->Link)
    this->sendCall(Call);
  else if (!this->IsConnecting)
    this->connect();
}

void RelayClient::Impl::connect() {
  this->IsConnecting = true;
  uint64_t Attempt = ++this->ConnectionGeneration;
  connectFramed(this->Loop, this->Peer,
                [Weak = this->weak_from_this(),
                 Attempt](absl::StatusOr<std::unique_ptr<FramedLink>> Result) {
                  if (std::shared_ptr<Impl> Self = Weak.lock())
                    Self->handleConnectResult(std::move(Result), Attempt);
                });
  this->Loop.runAfter(ConnectTimeout, [Weak = this->weak_from_this(), Attempt] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->IsConnecting && Self->ConnectionGeneration == Attempt)
      Self->closeAndFailCalls(absl::UnavailableError(
          "the connection to the peer was not established in time"));
  });
}

void RelayClient::Impl::handleConnectResult(
    absl::StatusOr<std::unique_ptr<FramedLink>> Result, uint64_t Attempt) {
  if (!this->IsConnecting || this->ConnectionGeneration != Attempt)
    return;
  if (!Result.ok())
    return this->closeAndFailCalls(Result.status());
  this->IsConnecting = false;
  this->Link = *std::move(Result);
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Link->setCallbacks(
      [Weak](const std::string &Message) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->handleReply(Message);
      },
      [Weak, Attempt](const absl::Status &Reason) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->ConnectionGeneration == Attempt)
          Self->closeAndFailCalls(Reason);
      });
  for (auto &[Id, Call] : this->Calls)
    if (!Call.IsSent)
      this->sendCall(Call);
  this->closeIfIdle();
}

/// A call whose message the link rejects stays unsent until its timeout.
void RelayClient::Impl::sendCall(PendingCall &Call) {
  Call.IsSent = this->Link->send(Call.Message).ok();
}

void RelayClient::Impl::handleReply(const std::string &Message) {
  absl::StatusOr<StoreReply> Reply = RelayCodec::decodeReply(Message);
  if (!Reply.ok())
    return this->closeAndFailCalls(Reply.status());
  int64_t Id = Reply->Id;
  this->completeCall(Id, *std::move(Reply));
}

/// The other host waits less than ReplyTimeout for the store, so a missing
/// reply means that the link is broken, and all calls on it fail.
void RelayClient::Impl::handleTimeout(int64_t Id) {
  if (this->Calls.contains(Id))
    this->closeAndFailCalls(absl::DeadlineExceededError(
        "the peer did not reply to the store call in time"));
}

void RelayClient::Impl::completeCall(int64_t Id, StoreReply Reply) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  ReplyCallback Done = std::move(Found->second.Done);
  this->Calls.erase(Found);
  Done(std::move(Reply));
}

/// Calls that were sent fail with OutcomeUnknown, all others with
/// PlatformUnavailable.
void RelayClient::Impl::closeAndFailCalls(const absl::Status &Reason) {
  ++this->ConnectionGeneration;
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

void RelayClient::Impl::closeIfIdle() {
  if (!this->Link)
    return;
  if (this->Calls.empty() && this->Loop.now() - this->LastUsed >= IdleTime)
    return this->closeAndFailCalls(absl::CancelledError("idle"));
  this->Loop.runAfter(IdleTime, [Weak = this->weak_from_this(),
                                 Expected = this->ConnectionGeneration] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->ConnectionGeneration == Expected)
      Self->closeIfIdle();
  });
}

RelayClient::RelayClient(LoopExecutor &Loop, const Endpoint &Peer)
    : Implementation(std::make_shared<Impl>(Loop, Peer)) {}

RelayClient::~RelayClient() = default;

void RelayClient::get(const std::string &Key, GetCallback Done) {
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

void RelayClient::list(const std::string &Prefix, ListCallback Done) {
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

void RelayClient::awaitChanges(const std::string &Prefix, int64_t After,
                               absl::Duration Wait, ChangesCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::AwaitChanges;
  Call.Key = Prefix;
  Call.Revision = After;
  Call.Duration = Wait;
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

void RelayClient::commit(StoreTransaction Transaction, CommitCallback Done) {
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

void RelayClient::grantLease(absl::Duration TimeToLive, LeaseCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::GrantLease;
  Call.Duration = TimeToLive;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               if (!Reply.Status.ok())
                                 return Done(Reply.Status);
                               Done(Reply.Lease);
                             });
}

void RelayClient::renewLease(int64_t Lease, DoneCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::RenewLease;
  Call.Lease = Lease;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               Done(Reply.Status);
                             });
}

void RelayClient::endLease(int64_t Lease, DoneCallback Done) {
  StoreCall Call;
  Call.Operation = StoreOperation::EndLease;
  Call.Lease = Lease;
  this->Implementation->call(std::move(Call),
                             [Done = std::move(Done)](const StoreReply &Reply) {
                               Done(Reply.Status);
                             });
}

} // namespace vanillayard
