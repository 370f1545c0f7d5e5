#include "RelayConnection.h"

#include <utility>

namespace vanillayard {

RelayConnection::RelayConnection(LoopExecutor &Loop, const LinkFaults &Faults,
                                 std::function<void()> Closed)
    : Loop(Loop), Faults(Faults), Closed(std::move(Closed)),
      Client(std::make_unique<TcpStream>(Loop.loop())),
      Target(std::make_unique<TcpStream>(Loop.loop())) {}

void RelayConnection::start(uv_tcp_t *Listener, const sockaddr_in &Address) {
  this->Up.From = this->Down.To = this->Client.get();
  this->Up.To = this->Down.From = this->Target.get();
  if (!this->Client->accept(Listener))
    return this->fail();
  this->watch(this->Up);
  this->watch(this->Down);
  this->Target->connect(Address, [this] {
    this->Connected = true;
    this->Down.From->setReading(true);
    this->pump();
  });
  if (this->Client)
    this->Client->setReading(true);
}

void RelayConnection::close() {
  this->Closed = nullptr;
  this->Client.reset();
  this->Target.reset();
}

void RelayConnection::fail() {
  std::function<void()> Call = std::exchange(this->Closed, nullptr);
  if (Call)
    this->Loop.post(std::move(Call));
  this->Client.reset();
  this->Target.reset();
}

void RelayConnection::watch(Direction &Way) {
  Way.From->onEvents(
      [this, &Way](std::string Data) {
        std::shared_ptr<RelayConnection> Keep = this->shared_from_this();
        Way.QueuedBytes += Data.size();
        Way.Queue.push_back(Chunk{this->Loop.now(), std::move(Data)});
        if (Way.QueuedBytes > MaxQueuedBytes)
          Way.From->setReading(false);
        this->pump(Way);
      },
      [this] { this->fail(); });
}

void RelayConnection::pump() {
  this->pump(this->Up);
  this->pump(this->Down);
}

void RelayConnection::pump(Direction &Way) {
  while (this->Target && this->Connected && !this->Faults.Frozen &&
         !Way.Queue.empty()) {
    absl::Duration Wait =
        Way.Queue.front().ReadAt + this->Faults.Delay - this->Loop.now();
    if (Wait > absl::ZeroDuration()) {
      this->Loop.runAfter(Wait, [this, &Way, Weak = this->weak_from_this()] {
        if (std::shared_ptr<RelayConnection> Keep = Weak.lock())
          this->pump(Way);
      });
      return;
    }
    Chunk Next = std::move(Way.Queue.front());
    Way.Queue.pop_front();
    Way.QueuedBytes -= Next.Data.size();
    if (Next.Data.empty()) {
      Way.Ended = true;
      Way.To->shutdown();
      if (this->Up.Ended && this->Down.Ended)
        return this->fail();
      continue;
    }
    Way.To->write(std::move(Next.Data));
    if (Way.QueuedBytes <= MaxQueuedBytes)
      Way.From->setReading(true);
  }
}

} // namespace vanillayard
