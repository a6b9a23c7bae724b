#include "Daemon/daemon.h"

#include "Logging/logging.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

namespace amaranthhoist {

std::string makeOperationId() {
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

void blockStopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  // Writing to a peer that has disconnected returns an error instead of raising
  // a signal.
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStop() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  int Signal = 0;
  sigwait(&Set, &Signal);
}

static int runWithSettings(
    const std::string &File, const std::string &Name,
    const std::function<result<bool>(const instance_settings &)> &Run) {
  const result<instance_settings> Settings = loadSettings(File);
  if (!Settings) {
    std::cerr << Settings.error().Message << "\n";
    return exit_codes::Usage;
  }
  setUpLogging(Name, Settings->Instance, Settings->LogLevel);
  const result<bool> Result = Run(*Settings);
  if (Result)
    return exit_codes::Success;
  logLine(log_level::Error, Result.error().Message);
  return Result.error().Code == error_code::Unavailable
             ? exit_codes::AddressInUse
             : exit_codes::Failure;
}

int runDaemon(
    int ArgumentCount, char **Arguments, const std::string &Name,
    const std::function<result<bool>(const instance_settings &)> &Run) {
  cxxopts::Options Options(Name, "Part of amaranthhoist, global traffic "
                                 "steering for sites with capped power.");
  Options.add_options()("settings", "the instance's settings, YAML",
                        cxxopts::value<std::string>(), "FILE")(
      "version", "print the version")("h,help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return exit_codes::Success;
    }
    if (Parsed.count("version") != 0) {
      std::cout << Name << " " << ProgramVersion << "\n";
      return exit_codes::Success;
    }
    if (Parsed.count("settings") == 0) {
      std::cerr << Name << ": --settings FILE is required\n";
      return exit_codes::Usage;
    }
    blockStopSignals();
    return runWithSettings(Parsed["settings"].as<std::string>(), Name, Run);
  } catch (const cxxopts::exceptions::exception &Exception) {
    std::cerr << Name << ": " << Exception.what() << "\n";
    return exit_codes::Usage;
  }
}

} // namespace amaranthhoist
