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

/// Decides for which conditions the operators get a warning.
///
/// A warning is issued once, after its condition has held for the hold time of
/// its rule and while none of the rule's causes holds. A condition that clears
/// earlier causes no warning. A warning that another host has issued is not
/// issued again.
class WarningCenter {
public:
  using Listener = std::function<void(const Warning &)>;

  /// Added to the hold time for each rank of the host. Of the hosts that see
  /// the same condition, the one of lowest rank thus warns first, and its
  /// heartbeat reaches the others before they warn.
  static constexpr absl::Duration RankDelay = absl::Seconds(3);

  /// \param OnIssued is called once for each warning.
  WarningCenter(Executor &Exec, Listener OnIssued);
  ~WarningCenter();
  WarningCenter(const WarningCenter &) = delete;
  WarningCenter &operator=(const WarningCenter &) = delete;

  /// Sets the rank of this host among the live hosts, from 0. Default 0.
  void setRank(int Value) { this->HostRank = Value; }

  /// Reports that a condition holds. A further call only replaces the detail.
  void raise(const WarningKey &Key, std::string Detail);
  /// Reports that a condition no longer holds.
  void clear(const WarningKey &Key);

  /// Replaces the list of warnings announced by \p Host, which it has issued
  /// itself or knows of from others.
  void setRemoteWarnings(const HostId &Host,
                         const std::vector<WarningKey> &Warnings);

  /// Returns the conditions that hold and for which this or another host has
  /// issued a warning. The caller sends them to the other hosts.
  std::vector<WarningKey> announcedKeys() const;
  /// Returns the warnings issued by this host whose condition still holds.
  std::vector<Warning> activeWarnings() const;

private:
  enum class Stage { Waiting, Issued, IssuedElsewhere };
  struct Entry {
    Warning Report;
    Stage Progress = Stage::Waiting;
    Executor::TimerId Timer = 0;
  };

  void restartHoldTimer(const WarningKey &Key, Entry &E);
  void onHoldTimeElapsed(const WarningKey &Key);
  bool isExplained(const WarningRule &Rule) const;
  bool isIssuedElsewhere(const WarningKey &Key) const;
  void restartEffectTimers(WarningCondition Cause);

  Executor &Exec;
  Listener OnIssued;
  /// HostRank of this host among the live hosts, from 0.
  int HostRank = 0;
  std::map<WarningKey, Entry> Entries;
  std::map<HostId, std::set<WarningKey>> Remote;
};

} // namespace vanillayard

#endif
