#include "RelayConnection.h"

#include <utility>

namespace vanillayard {

RelayConnection::RelayConnection(LoopExecutor &Loop, const LinkFaults &Faults,
                                 std::function<void()> Closed)
    : Loop(Loop), Faults(Faults), Closed(std::move(Closed)),
      Client(std::make_unique<TcpStream>(Loop.loop())),
      Target(std::make_unique<TcpStream>(Loop.loop())) {}

void RelayConnection::start(uv_tcp_t *Listener, const sockaddr_in &Address) {
  this->ToTarget.From = this->ToClient.To = this->Client.get();
  this->ToTarget.To = this->ToClient.From = this->Target.get();
  if (!this->Client->accept(Listener))
    return this->closeAndNotify();
  this->registerCallbacks(this->ToTarget);
  this->registerCallbacks(this->ToClient);
  this->Target->connect(Address, [this] {
    this->Connected = true;
    this->ToClient.From->setReading(true);
    this->forwardQueued();
  });
  if (this->Client)
    this->Client->setReading(true);
}

void RelayConnection::close() {
  this->Closed = nullptr;
  this->Client.reset();
  this->Target.reset();
}

void RelayConnection::closeAndNotify() {
  std::function<void()> Call = std::exchange(this->Closed, nullptr);
  if (Call)
    this->Loop.post(std::move(Call));
  this->Client.reset();
  this->Target.reset();
}

void RelayConnection::registerCallbacks(Direction &D) {
  D.From->onEvents(
      [this, &D](std::string Data) {
        std::shared_ptr<RelayConnection> Keep = this->shared_from_this();
        D.QueuedBytes += Data.size();
        D.Queue.push_back(Chunk{this->Loop.now(), std::move(Data)});
        if (D.QueuedBytes > MaxQueuedBytes)
          D.From->setReading(false);
        this->forwardQueued(D);
      },
      [this] { this->closeAndNotify(); });
}

void RelayConnection::forwardQueued() {
  this->forwardQueued(this->ToTarget);
  this->forwardQueued(this->ToClient);
}

void RelayConnection::forwardQueued(Direction &D) {
  while (this->Target && this->Connected && !this->Faults.Frozen &&
         !D.Queue.empty()) {
    absl::Duration Wait =
        D.Queue.front().ReadAt + this->Faults.Delay - this->Loop.now();
    if (Wait > absl::ZeroDuration()) {
      this->Loop.runAfter(Wait, [this, &D, Weak = this->weak_from_this()] {
        if (std::shared_ptr<RelayConnection> Keep = Weak.lock())
          this->forwardQueued(D);
      });
      return;
    }
    Chunk Next = std::move(D.Queue.front());
    D.Queue.pop_front();
    D.QueuedBytes -= Next.Data.size();
    if (Next.Data.empty()) {
      D.Ended = true;
      D.To->shutdown();
      if (this->ToTarget.Ended && this->ToClient.Ended)
        return this->closeAndNotify();
      continue;
    }
    D.To->write(std::move(Next.Data));
    if (D.QueuedBytes <= MaxQueuedBytes)
      D.From->setReading(true);
  }
}

} // namespace vanillayard
