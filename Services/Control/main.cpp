// amaranthhoist-control: connects an instance to the platform and to its peers.

#include "Daemon/daemon.h"
#include "control_daemon.h"

using namespace amaranthhoist;

static result<bool> runControl(const instance_settings &Settings) {
  control_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.shutDown();
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-control",
                   runControl);
}
