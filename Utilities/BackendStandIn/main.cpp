// backend-stand-in: runs stand-ins for all backend servers of one site in one
// process.

#include "Daemon/daemon.h"
#include "backend_server.h"

#include <absl/strings/numbers.h>
#include <cxxopts.hpp>
#include <iostream>
#include <vector>

using namespace amaranthhoist;

/// `NAME,IP:PORT,SLOTS,CONNECTIONS,WORK_MS,SLOT_MW,HAS_PROBE`.
static result<backend_options> parseTarget(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  if (Parts.size() != 7)
    return fail(error_code::Invalid,
                Text + ": must have seven comma-separated parts");
  backend_options Options;
  Options.Name = Parts[0];
  Options.Address = Parts[1];
  Options.Slots = std::atoll(Parts[2].c_str());
  Options.MaxConnections = static_cast<unsigned>(std::atoll(Parts[3].c_str()));
  Options.WorkMs = std::atoll(Parts[4].c_str());
  Options.SlotMilliwatts = std::atoll(Parts[5].c_str());
  Options.HasProbe = Parts[6] == "1";
  return Options;
}

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 2) {
    std::cerr
        << "usage: backend-stand-in "
           "NAME,IP:PORT,SLOTS,CONNECTIONS,WORK_MS,SLOT_MW,HAS_PROBE...\n";
    return exit_codes::Usage;
  }
  blockStopSignals();
  site_meter Meter;
  std::vector<std::unique_ptr<backend_server>> Servers;
  for (int Index = 1; Index < ArgumentCount; ++Index) {
    const result<backend_options> Options = parseTarget(Arguments[Index]);
    if (!Options) {
      std::cerr << Options.error().Message << "\n";
      return exit_codes::Usage;
    }
    Servers.push_back(std::make_unique<backend_server>(*Options, Meter));
    if (const auto Started = Servers.back()->start(); !Started) {
      std::cerr << Started.error().Message << "\n";
      return exit_codes::AddressInUse;
    }
  }
  waitForStop();
  std::_Exit(exit_codes::Success);
}
