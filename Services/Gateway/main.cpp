// amaranthhoist-gateway: sends work to the backend servers of its sites.

#include "Daemon/daemon.h"
#include "gateway_daemon.h"

using namespace amaranthhoist;

/// Maximum wait for work in progress after SIGTERM. Work that is left then ends
/// with the process and is accounted for as of unknown end.
static constexpr duration ShutdownTimeout = std::chrono::minutes(10);

static result<bool> runGateway(const instance_settings &Settings) {
  gateway_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.shutDown(ShutdownTimeout);
  // Open exchanges would delay the destructors.
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-gateway",
                   runGateway);
}
