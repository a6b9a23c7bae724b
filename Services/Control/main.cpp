// amaranthhoist-control: an instance's link to the platform and its peers.

#include "Daemon/daemon.h"
#include "control_daemon.h"

using namespace amaranthhoist;

static result<bool> runControl(const instance_settings &Settings) {
  control_daemon Daemon(Settings);
  TRY(Daemon.start());
  waitForStop();
  Daemon.leave();
  std::_Exit(exit_codes::Success);
}

int main(int ArgumentCount, char **Arguments) {
  return runDaemon(ArgumentCount, Arguments, "amaranthhoist-control",
                   runControl);
}
