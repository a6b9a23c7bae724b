/// Shared code of the daemons' main functions: arguments, settings and signals.
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
/// Another process has bound the address, or it cannot be bound.
inline constexpr int AddressInUse = 3;
} // namespace exit_codes

/// Runs a daemon: reads `--settings FILE`, initialises the log and calls \p
/// Run. Run starts the daemon, calls waitForStop() and shuts the daemon down.
/// An error that it returns is printed.
int runDaemon(
    int ArgumentCount, char **Arguments, const std::string &Name,
    const std::function<result<bool>(const instance_settings &)> &Run);

/// Version of all programs.
inline constexpr const char *ProgramVersion = "0.1.0";

/// Returns a random name that identifies the writer of an object when the
/// response to the write was lost.
std::string makeOperationId();

/// Blocks SIGTERM and SIGINT, so that only waitForStop() receives them. Call
/// this before any thread is created.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStop();

} // namespace amaranthhoist
