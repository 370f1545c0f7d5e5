#ifndef VANILLAYARD_OBSERVE_WARNINGCENTER_H
#define VANILLAYARD_OBSERVE_WARNINGCENTER_H

#include "base/Executor.h"
#include "base/Ids.h"
#include "observe/Warning.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace vanillayard {

/// Decides which conditions become warnings to the operators.
///
/// A warning is given once, after its condition has held for the time of its
/// rule without a cause that explains it. A condition that clears before that
/// gives none. A warning that another host has given is not given again.
class WarningCenter {
public:
  using Listener = std::function<void(const Warning &)>;

  /// Hosts that see the same condition warn in the order of their ranks, this
  /// much apart, so that a heartbeat from the first one holds back the others.
  static constexpr absl::Duration RankDelay = absl::Seconds(3);

  /// \param Given is called once for each warning.
  WarningCenter(Executor &Exec, Listener Given);
  ~WarningCenter();
  WarningCenter(const WarningCenter &) = delete;
  WarningCenter &operator=(const WarningCenter &) = delete;

  /// Rank of this host among the live ones, from 0. Default 0.
  void setRank(int Value) { this->Rank = Value; }

  /// Says that a condition holds. Saying it again changes only the detail.
  void raise(const WarningKey &Key, std::string Detail);
  /// Says that a condition does not hold any more.
  void clear(const WarningKey &Key);

  /// Replaces the list of warnings that \p Host has given or knows of.
  void setRemote(const HostId &Host, const std::vector<WarningKey> &Warnings);

  /// Conditions that hold and were warned of by this or another host; to be
  /// told to the other hosts.
  std::vector<WarningKey> announced() const;
  /// Warnings of this host whose condition still holds.
  std::vector<Warning> active() const;

private:
  enum class Stage { Waiting, Given, GivenElsewhere };
  struct Entry {
    Warning Report;
    Stage Progress = Stage::Waiting;
    Executor::TimerId Timer = 0;
  };

  void restartHold(const WarningKey &Key, Entry &E);
  void holdEnded(const WarningKey &Key);
  bool isExplained(const WarningRule &Rule) const;
  bool isGivenElsewhere(const WarningKey &Key) const;
  void restartEffectsOf(WarningCondition Cause);

  Executor &Exec;
  Listener OnGiven;
  int Rank = 0;
  std::map<WarningKey, Entry> Entries;
  std::map<HostId, std::set<WarningKey>> Remote;
};

} // namespace vanillayard

#endif
