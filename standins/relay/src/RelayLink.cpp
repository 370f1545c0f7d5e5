#include "standin_relay/RelayLink.h"

#include "RelayConnection.h"
#include "base/AbslView.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>

namespace vanillayard {

static constexpr int ListenBacklog = 256;

static absl::StatusOr<sockaddr_in> parseAddress(const Endpoint &Address) {
  const std::string &Text = Address.str();
  size_t Colon = Text.rfind(':');
  sockaddr_in Result = {};
  int Port = 0;
  if (Colon == std::string::npos ||
      !absl::SimpleAtoi(abslView(std::string_view(Text).substr(Colon + 1)),
                        &Port) ||
      uv_ip4_addr(Text.substr(0, Colon).c_str(), Port, &Result) != 0)
    return absl::InvalidArgumentError(
        "expected an address IP:PORT (IPv4), found " + Text);
  return Result;
}

absl::StatusOr<std::unique_ptr<RelayLink>>
RelayLink::open(LoopExecutor &Loop, const Endpoint &Listen,
                const Endpoint &Target) {
  absl::StatusOr<sockaddr_in> Parsed = parseAddress(Target);
  if (!Parsed.ok())
    return Parsed.status();
  std::unique_ptr<RelayLink> Link(new RelayLink(Loop, Target));
  if (absl::Status Bound = Link->listen(Listen); !Bound.ok())
    return Bound;
  return Link;
}

absl::Status RelayLink::listen(const Endpoint &Listen) {
  absl::StatusOr<sockaddr_in> Address = parseAddress(Listen);
  if (!Address.ok())
    return Address.status();
  this->Listener = new uv_tcp_t;
  this->Listener->data = this;
  uv_tcp_init(this->Loop.loop(), this->Listener);
  int Code = uv_tcp_bind(this->Listener,
                         reinterpret_cast<const sockaddr *>(&*Address), 0);
  if (Code == 0)
    Code = uv_listen(reinterpret_cast<uv_stream_t *>(this->Listener),
                     ListenBacklog, [](uv_stream_t *Stream, int Status) {
                       if (Status == 0)
                         static_cast<RelayLink *>(Stream->data)->accept();
                     });
  if (Code != 0)
    return absl::UnavailableError(
        fmt::format("cannot listen: {}", uv_strerror(Code)));
  return absl::OkStatus();
}

RelayLink::~RelayLink() {
  for (const std::shared_ptr<RelayConnection> &Connection : this->Connections)
    Connection->close();
  if (this->Listener)
    uv_close(reinterpret_cast<uv_handle_t *>(this->Listener),
             [](uv_handle_t *Closed) {
               delete reinterpret_cast<uv_tcp_t *>(Closed);
             });
}

void RelayLink::accept() {
  auto WeakConnection = std::make_shared<std::weak_ptr<RelayConnection>>();
  auto Connection = std::make_shared<RelayConnection>(
      this->Loop, this->Faults, [this, WeakConnection] {
        this->Connections.erase(WeakConnection->lock());
      });
  *WeakConnection = Connection;
  this->Connections.insert(Connection);
  Connection->start(this->Listener, *parseAddress(this->Target));
  if (!this->Faults.Cut)
    return;
  Connection->close();
  this->Connections.erase(Connection);
}

Endpoint RelayLink::address() const {
  sockaddr_in Name = {};
  int Size = sizeof(Name);
  uv_tcp_getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Name),
                     &Size);
  char Text[INET_ADDRSTRLEN] = {};
  uv_ip4_name(&Name, Text, sizeof(Text));
  return Endpoint(fmt::format("{}:{}", Text, ntohs(Name.sin_port)));
}

void RelayLink::setFaults(const LinkFaults &Value) {
  this->Faults = Value;
  auto Open = this->Connections;
  for (const std::shared_ptr<RelayConnection> &Connection : Open) {
    if (Value.Cut)
      Connection->close();
    else
      Connection->forwardQueued();
  }
  if (Value.Cut)
    this->Connections.clear();
}

} // namespace vanillayard
