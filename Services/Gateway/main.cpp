// amaranthhoist-gateway: sends work to the backend servers of its sites.

#include "Daemon/daemon.h"
#include "gateway_daemon.h"

using namespace amaranthhoist;

/// Longest wait for work under way after SIGTERM. Whatever is left then ends
/// with the process and is accounted for as of unknown end.
static constexpr duration LeaveLimit = std::chrono::minutes(10);

static result<bool> runGateway(const instance_settings &Settings) {
  gateway_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.leave(LeaveLimit);
  // Exchanges that are still open would hold up the destructors.
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-gateway",
                   runGateway);
}
