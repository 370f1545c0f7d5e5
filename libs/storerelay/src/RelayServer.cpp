#include "RelayServer.h"

#include "base/ErrorKind.h"
#include "net/FramedListener.h"
#include "net/LoopExecutor.h"
#include "store/CoordinationStore.h"
#include "storerelay/RelayCodec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace vanillayard {

using ReplyCallback = std::function<void(StoreReply)>;

static void relayGet(CoordinationStore &Store, const StoreCall &Call,
                     ReplyCallback Done) {
  Store.get(Call.Key, [Done = std::move(Done)](
                          absl::StatusOr<std::optional<StoreItem>> Result) {
    StoreReply Reply;
    Reply.Status = Result.status();
    if (Result.ok() && Result->has_value())
      Reply.Items.push_back({**std::move(Result), false});
    Done(std::move(Reply));
  });
}

static void relayList(CoordinationStore &Store, const StoreCall &Call,
                      ReplyCallback Done) {
  Store.list(Call.Key,
             [Done = std::move(Done)](absl::StatusOr<StoreListing> Result) {
               StoreReply Reply;
               Reply.Status = Result.status();
               if (Result.ok()) {
                 Reply.Revision = Result->Revision;
                 for (StoreItem &Item : Result->Items)
                   Reply.Items.push_back({std::move(Item), false});
               }
               Done(std::move(Reply));
             });
}

static void relayAwaitChanges(CoordinationStore &Store, const StoreCall &Call,
                              ReplyCallback Done) {
  Store.awaitChanges(
      Call.Key, Call.Revision, Call.Duration,
      [Done = std::move(Done)](absl::StatusOr<StoreChanges> Result) {
        StoreReply Reply;
        Reply.Status = Result.status();
        if (Result.ok()) {
          Reply.Revision = Result->Revision;
          Reply.IsHistoryLost = Result->IsHistoryLost;
          Reply.Items = std::move(Result->Changes);
        }
        Done(std::move(Reply));
      });
}

static void relayCommit(CoordinationStore &Store, const StoreCall &Call,
                        ReplyCallback Done) {
  Store.commit(Call.Transaction,
               [Done = std::move(Done)](absl::StatusOr<StoreCommit> Result) {
                 StoreReply Reply;
                 Reply.Status = Result.status();
                 if (Result.ok()) {
                   Reply.IsApplied = Result->IsApplied;
                   Reply.Revision = Result->Revision;
                   for (StoreItem &Item : Result->Found)
                     Reply.Items.push_back({std::move(Item), false});
                 }
                 Done(std::move(Reply));
               });
}

static void relayGrantLease(CoordinationStore &Store, const StoreCall &Call,
                            ReplyCallback Done) {
  Store.grantLease(Call.Duration,
                   [Done = std::move(Done)](absl::StatusOr<int64_t> Result) {
                     StoreReply Reply;
                     Reply.Status = Result.status();
                     Reply.Lease = Result.ok() ? *Result : 0;
                     Done(std::move(Reply));
                   });
}

static void callStore(CoordinationStore &Store, const StoreCall &Call,
                      ReplyCallback Done) {
  auto Finish = [Done](absl::Status Result) {
    StoreReply Reply;
    Reply.Status = std::move(Result);
    Done(std::move(Reply));
  };
  switch (Call.Operation) {
  case StoreOperation::Get:
    return relayGet(Store, Call, std::move(Done));
  case StoreOperation::List:
    return relayList(Store, Call, std::move(Done));
  case StoreOperation::AwaitChanges:
    return relayAwaitChanges(Store, Call, std::move(Done));
  case StoreOperation::Commit:
    return relayCommit(Store, Call, std::move(Done));
  case StoreOperation::GrantLease:
    return relayGrantLease(Store, Call, std::move(Done));
  case StoreOperation::RenewLease:
    return Store.renewLease(Call.Lease, Finish);
  case StoreOperation::EndLease:
    return Store.endLease(Call.Lease, Finish);
  }
}

class RelayServer::Impl
    : public std::enable_shared_from_this<RelayServer::Impl> {
public:
  Impl(LoopExecutor &Loop, CoordinationStore &Direct)
      : Loop(Loop), Direct(Direct) {}

  void addLink(std::unique_ptr<FramedLink> Link);

  LoopExecutor &Loop;
  CoordinationStore &Direct;
  std::unique_ptr<FramedListener> Listener;

private:
  struct PeerLink {
    std::unique_ptr<FramedLink> Link;
    absl::Time LastCallAt;
  };

  void handleCall(uint64_t LinkId, const std::string &Message);
  void sendReply(uint64_t LinkId, const StoreReply &Reply);
  void makeRoomForLink();
  void keepQueueLimit();

  std::map<uint64_t, PeerLink> Links;
  uint64_t NextLinkId = 1;
  size_t CallsInProgress = 0;
};

void RelayServer::Impl::addLink(std::unique_ptr<FramedLink> Link) {
  this->makeRoomForLink();
  uint64_t Id = this->NextLinkId++;
  FramedLink &Added = *Link;
  this->Links[Id] = {std::move(Link), this->Loop.now()};
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  Added.setCallbacks(
      [Weak, Id](const std::string &Message) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->handleCall(Id, Message);
      },
      [Weak, Id](const absl::Status &) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->Links.erase(Id);
      });
}

void RelayServer::Impl::makeRoomForLink() {
  while (this->Links.size() >= MaxLinks)
    this->Links.erase(std::min_element(this->Links.begin(), this->Links.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.LastCallAt <
                                                B.second.LastCallAt;
                                       }));
}

void RelayServer::Impl::keepQueueLimit() {
  auto IsShorter = [](const auto &A, const auto &B) {
    return A.second.Link->queuedBytes() < B.second.Link->queuedBytes();
  };
  auto Sum = [this] {
    size_t Bytes = 0;
    for (const auto &[Id, Peer] : this->Links)
      Bytes += Peer.Link->queuedBytes();
    return Bytes;
  };
  while (Sum() > MaxQueuedBytes)
    this->Links.erase(
        std::max_element(this->Links.begin(), this->Links.end(), IsShorter));
}

void RelayServer::Impl::handleCall(uint64_t LinkId,
                                   const std::string &Message) {
  absl::StatusOr<StoreCall> Call = RelayCodec::decodeCall(Message);
  if (!Call.ok()) {
    this->Links.erase(LinkId);
    return;
  }
  this->Links[LinkId].LastCallAt = this->Loop.now();
  if (this->CallsInProgress >= MaxCalls) {
    StoreReply Refusal;
    Refusal.Id = Call->Id;
    Refusal.Status =
        makeError(ErrorKind::PlatformUnavailable,
                  "this host already relays its maximum number of store calls");
    return this->sendReply(LinkId, Refusal);
  }
  ++this->CallsInProgress;
  callStore(
      this->Direct, *Call,
      [Weak = this->weak_from_this(), LinkId, Id = Call->Id](StoreReply Reply) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        --Self->CallsInProgress;
        Reply.Id = Id;
        Self->sendReply(LinkId, Reply);
      });
}

void RelayServer::Impl::sendReply(uint64_t LinkId, const StoreReply &Reply) {
  auto Found = this->Links.find(LinkId);
  if (Found == this->Links.end())
    return;
  absl::StatusOr<std::string> Message = RelayCodec::encode(Reply);
  if (!Message.ok()) {
    StoreReply Failure;
    Failure.Id = Reply.Id;
    Failure.Status = makeError(ErrorKind::OutcomeUnknown,
                               std::string(Message.status().message()));
    Message = RelayCodec::encode(Failure);
  }
  // Closing the link tells the requesting host that no reply will arrive.
  FramedLink &Link = *Found->second.Link;
  if (!Message.ok() || !Link.send(*Message).ok())
    this->Links.erase(Found);
  else if (Link.queuedBytes() > 0)
    this->keepQueueLimit();
}

RelayServer::RelayServer(LoopExecutor &Loop, CoordinationStore &Direct)
    : Implementation(std::make_shared<Impl>(Loop, Direct)) {}

RelayServer::~RelayServer() = default;

absl::Status RelayServer::listen(const Endpoint &Address) {
  Impl &I = *this->Implementation;
  absl::StatusOr<std::unique_ptr<FramedListener>> Listener = listenFramed(
      I.Loop, Address,
      [Weak = I.weak_from_this()](std::unique_ptr<FramedLink> Link) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->addLink(std::move(Link));
      },
      MaxInputBytes);
  if (!Listener.ok())
    return Listener.status();
  I.Listener = *std::move(Listener);
  return absl::OkStatus();
}

Endpoint RelayServer::address() const {
  return this->Implementation->Listener->address();
}

} // namespace vanillayard
