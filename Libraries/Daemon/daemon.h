/// What the daemons' main functions share: arguments, settings, signals.
#pragma once

#include "Settings/settings.h"

#include <functional>
#include <string>

namespace amaranthhoist {

/// Exit codes of all programs.
namespace exit_codes {
inline constexpr int Success = 0;
inline constexpr int Failure = 1;
inline constexpr int Usage = 2;
/// The address is held by another process, or can't be bound.
inline constexpr int AddressTaken = 3;
} // namespace exit_codes

/// Runs a daemon: reads `--settings FILE`, sets up the log, calls \p Run. Run
/// starts the daemon, calls waitForStop() and ends it; its error is printed.
int runDaemon(
    int ArgumentCount, char **Arguments, const std::string &Name,
    const std::function<result<bool>(const instance_settings &)> &Run);

/// Version of all programs.
inline constexpr const char *ProgramVersion = "0.1.0";

/// A random name that tells whose write an object is after a lost answer.
std::string makeOperationId();

/// Blocks SIGTERM and SIGINT, so that only waitForStop() takes them. Called
/// before any thread is made.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStop();

} // namespace amaranthhoist
