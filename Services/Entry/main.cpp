// amaranthhoist-entry: where callers ask and send.

#include "Daemon/daemon.h"
#include "entry_daemon.h"

using namespace amaranthhoist;

/// Longest wait for callers under way after SIGTERM.
static constexpr duration LeaveLimit = std::chrono::minutes(10);

static result<bool> runEntry(const instance_settings &Settings) {
  entry_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.leave(LeaveLimit);
  // Idle callers' connections would hold up the destructors.
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-entry", runEntry);
}
