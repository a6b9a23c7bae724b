// platform-stand-in: a stand-in for the platform's object API.

#include "Daemon/daemon.h"
#include "object_store.h"

#include <csignal>
#include <iostream>

using namespace amaranthhoist;

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2) {
    std::cerr << "usage: platform-stand-in IP:PORT\n";
    return exit_codes::Usage;
  }
  blockStopSignals();
  object_store Store;
  auto Server = http_server::createWhole(
      Arguments[1], [&Store](const http_head &Head, const std::string &Body) {
        return Store.handle(Head, Body);
      });
  if (!Server) {
    std::cerr << Server.error().Message << "\n";
    return exit_codes::AddressInUse;
  }
  waitForStop();
  std::_Exit(exit_codes::Success);
}
