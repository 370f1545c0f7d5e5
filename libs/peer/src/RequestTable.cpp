#include "RequestTable.h"

#include "base/ErrorKind.h"

#include <utility>
#include <vector>

namespace vanillayard {

bool isReply(const PeerMessage &Message) {
  return std::holds_alternative<ConfigReply>(Message) ||
         std::holds_alternative<ForwardReply>(Message) ||
         std::holds_alternative<JobReply>(Message);
}

static size_t replyTypeOf(const PeerMessage &Request) {
  if (std::holds_alternative<ConfigRequest>(Request))
    return PeerMessage(ConfigReply()).index();
  if (std::holds_alternative<ForwardRequest>(Request))
    return PeerMessage(ForwardReply()).index();
  return PeerMessage(JobReply()).index();
}

RequestTable::~RequestTable() {
  for (auto &[Correlation, E] : this->Pending)
    this->Exec.cancel(E.Timer);
}

int64_t RequestTable::add(const HostId &To, const PeerMessage &Request,
                          absl::Duration Timeout, Callback Done) {
  int64_t Correlation = this->NextCorrelation++;
  Executor::TimerId Timer = this->Exec.runAfter(Timeout, [this, Correlation] {
    if (auto Callback = this->takeCallback(Correlation))
      (*Callback)(makeError(ErrorKind::OutcomeUnknown,
                            "the peer host did not reply before the timeout"));
  });
  this->Pending[Correlation] = {To, replyTypeOf(Request), std::move(Done),
                                Timer};
  return Correlation;
}

std::optional<RequestTable::Callback>
RequestTable::takeCallback(int64_t Correlation) {
  auto Found = this->Pending.find(Correlation);
  if (Found == this->Pending.end())
    return std::nullopt;
  this->Exec.cancel(Found->second.Timer);
  Callback Done = std::move(Found->second.Done);
  this->Pending.erase(Found);
  return Done;
}

void RequestTable::complete(const Envelope &Reply) {
  auto Found = this->Pending.find(Reply.Correlation);
  if (Found == this->Pending.end() || Found->second.To != Reply.Sender ||
      Found->second.ReplyType != Reply.Message.index())
    return;
  if (auto Done = this->takeCallback(Reply.Correlation))
    (*Done)(Reply);
}

void RequestTable::failAll(const HostId &Host) {
  std::vector<int64_t> Lost;
  for (const auto &[Correlation, E] : this->Pending)
    if (E.To == Host)
      Lost.push_back(Correlation);
  for (int64_t Correlation : Lost)
    if (auto Done = this->takeCallback(Correlation))
      (*Done)(makeError(ErrorKind::OutcomeUnknown,
                        "the peer host died or restarted before it replied"));
}

} // namespace vanillayard
