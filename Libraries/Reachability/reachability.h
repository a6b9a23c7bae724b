/// Which backend servers this instance reaches itself. Paths to the servers of
/// one service may fail while other instances reach them, and while other
/// services are in reach. While most connections to a service fail, its paths
/// count as impaired: requests then don't try servers, but connections without
/// a request do. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Targets/targets.h"
#include "Text/text.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The paths to the servers of one service.
struct service_paths {
  /// Cumulative sum of failed connections less servers reached, weighted so
  /// that it grows while most of the servers are out of reach.
  double Score = 0;
  /// Failure domains of the failed connections.
  text_set FailedDomains;
  instant FirstFailureAt{};
  instant LastFailureAt{};
  bool IsImpaired = false;
  /// A server was reached since the impairment began.
  bool HasReached = false;
  /// Results of the latest trials; the latest is the lowest bit.
  std::uint32_t Trials = 0;
  instant NextTrialAt{};
};

struct reachability {
  text_map<service_paths> Services;
};

/// How a recorded result changes the paths to its service.
enum class path_change : std::uint8_t {
  None,
  /// Servers of one failure domain alone have failed; trials of other domains
  /// tell whether the paths or the servers are at fault.
  Suspected,
  Impaired,
  Restored,
};

/// Records a connection to \p Target that could not be established.
path_change recordConnectFailure(reachability &Reachability,
                                 const target_directory &Directory,
                                 target &Target, instant Now);

/// Records a response of \p Target to a request that was sent at \p SentAt. One
/// that was sent before the failures began says nothing about the path now.
void recordResponse(reachability &Reachability, target &Target, instant SentAt);

/// Records the result of a trial, a connection without a request.
path_change recordTrial(reachability &Reachability,
                        const target_directory &Directory, target &Target,
                        bool IsReached, instant Now);

/// The servers to try now; empty while no service is impaired or suspected.
std::vector<target *> popDueTrials(reachability &Reachability,
                                   const target_directory &Directory,
                                   std::uint64_t InstanceHash, instant Now);

bool isImpaired(const reachability &Reachability, std::string_view Service);

/// Whether the paths to \p Service are impaired and no server was reached since
/// that began.
bool isIsolated(const reachability &Reachability, std::string_view Service);

/// Whether any service is impaired.
bool hasImpairedService(const reachability &Reachability);

/// Whether trials may be due: a service is impaired or suspected.
bool needsTrials(const reachability &Reachability);

} // namespace amaranthhoist
