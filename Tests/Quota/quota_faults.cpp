/// The faults of a simulated fleet.
#include "quota_simulation.h"

#include <algorithm>

namespace amaranthhoist::quota_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

void world::scheduleFaults() {
  if (!Options.HasFaults)
    return;
  Loss = uniform() < 0.3 ? 0.1 : 0;
  const std::size_t Count = 2 + Random() % 8;
  const instant Begin = instant(Lead);
  if (Options.HasKills && uniform() < 0.2)
    killRepeatedly();
  // Half of the schedules strike all at once.
  const bool IsDense = uniform() < 0.5;
  const duration First = between(seconds(0), Options.Length / 2);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const duration When = IsDense ? First + between(seconds(0), seconds(5))
                                  : between(seconds(0), Options.Length);
    at(Begin + When, [this] { fault(); });
  }
}

void world::kill(node_state &Node, duration Downtime) {
  if (!Node.IsUp)
    return;
  Node.IsUp = false;
  ++Node.Start;
  at(Now + Downtime, [this, &Node] { boot(Node); });
}

/// Kills most instances several times within one window.
void world::killRepeatedly() {
  instant When = HotFrom + between(duration::zero(), seconds(2));
  for (int Count = 0; Count < 6; ++Count) {
    at(When, [this] {
      for (node_state &Node : Nodes)
        if (uniform() < 0.9)
          kill(Node, between(milliseconds(50), milliseconds(200)));
    });
    When += between(milliseconds(700), milliseconds(1'000));
  }
}

void world::fault() {
  const double Draw = uniform();
  const double Share = Draw < 0.3 ? 1.0 : uniform();
  const std::uint64_t Kind = Options.HasKills ? Random() % 5 : 2 + Random() % 3;
  const duration Length = between(milliseconds(300), seconds(7));
  if (Kind == 4) {
    account_state &Account = Accounts[Random() % Accounts.size()];
    Account.Limit.RequestsPerSecond *= uniform() < 0.5 ? 0.4 : 1.5;
    Account.Limit.Burst = Account.Limit.RequestsPerSecond;
    const bool IsLower =
        Account.Limit.RequestsPerSecond < Account.Bound.RequestsPerSecond;
    const duration Delay = IsLower ? Bounds.Window : duration::zero();
    const quota_limit Next = Account.Limit;
    at(Now + Delay, [&Account, Next] {
      // A change that came later binds at its own time.
      if (Account.Limit.RequestsPerSecond <= Next.RequestsPerSecond)
        Account.Bound = Next;
    });
    return;
  }
  for (node_state &Node : Nodes) {
    if (uniform() > Share)
      continue;
    switch (Kind) {
    case 0:
    case 1:
      kill(Node, between(milliseconds(300), milliseconds(1'500)));
      break;
    case 2:
      Node.PausedUntil = std::max(Node.PausedUntil, Now + Length);
      break;
    default:
      Node.CutUntil = std::max(Node.CutUntil, Now + Length);
    }
  }
}

} // namespace amaranthhoist::quota_simulation
