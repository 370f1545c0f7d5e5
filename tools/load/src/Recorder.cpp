#include "load/Recorder.h"

#include "load/LoadStream.h"
#include "load/PlannedRequest.h"

#include <algorithm>
#include <vector>

namespace vanillayard {

size_t GroupRecord::countOf(const std::string &Name) const {
  size_t Count = 0;
  for (const auto &[Key, Number] : this->Outcomes)
    if (Key.first == Name)
      Count += Number;
  return Count;
}

static void addOutcome(GroupRecord &Group, const LoadStream &Stream,
                       const Outcome &Result) {
  ++Group.Sent;
  ++Group.Outcomes[{Result.Name, Result.Execution}];
  if (Result.Name != Outcome::Ok) {
    Group.Completion.add(
        absl::ToDoubleSeconds(std::max(Result.Latency, Stream.Deadline)));
    return;
  }
  Group.Latency.add(absl::ToDoubleSeconds(Result.Latency));
  Group.Completion.add(absl::ToDoubleSeconds(Result.Latency));
}

void Recorder::record(const LoadStream &Stream, const PlannedRequest &Request,
                      const Outcome &Result) {
  addOutcome(this->Total, Stream, Result);
  addOutcome(this->Kinds[Stream.Kind.str()], Stream, Result);
  addOutcome(this->Accounts[Stream.Account.str()], Stream, Result);
  addOutcome(this->Classes[Stream.Name], Stream, Result);
  addOutcome(this->Callers[Stream.Name][Request.Caller.str()], Stream, Result);
}

static const GroupRecord &findGroup(const Recorder::Groups &Groups,
                                    const std::string &Name) {
  static const GroupRecord Empty;
  auto Found = Groups.find(Name);
  return Found == Groups.end() ? Empty : Found->second;
}

const GroupRecord &Recorder::ofClass(const std::string &Name) const {
  return findGroup(this->Classes, Name);
}

const GroupRecord &Recorder::ofKind(const std::string &Name) const {
  return findGroup(this->Kinds, Name);
}

double Recorder::jainIndexOfClass(const std::string &Name) const {
  std::vector<double> Shares;
  auto Found = this->Callers.find(Name);
  if (Found == this->Callers.end())
    return 1;
  for (const auto &[Caller, Group] : Found->second)
    Shares.push_back(static_cast<double>(Group.succeeded()) /
                     static_cast<double>(Group.Sent));
  return jainIndex(Shares);
}

size_t Recorder::wrongAnswers() const {
  return this->Total.countOf(Outcome::WrongAnswer);
}

} // namespace vanillayard
