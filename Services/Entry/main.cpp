// amaranthhoist-entry: answers look-ups and accepts callers' requests.

#include "Daemon/daemon.h"
#include "entry_daemon.h"

using namespace amaranthhoist;

/// Maximum wait for requests in flight after SIGTERM.
static constexpr duration ShutdownTimeout = std::chrono::minutes(10);

static result<bool> runEntry(const instance_settings &Settings) {
  entry_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.shutDown(ShutdownTimeout);
  // Idle connections of callers would delay the destructors.
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-entry", runEntry);
}
