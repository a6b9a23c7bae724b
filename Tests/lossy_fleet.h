// A fleet of failure detectors whose datagrams are delayed and lost.
#pragma once

#include "Membership/membership.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Name of an instance of the fleet.
std::string nameOf(std::size_t Index);

/// Instances and their distances.
struct lossy_fleet_options {
  std::size_t Instances = 0;
  /// One way, within a region and between regions.
  duration Delay{};
  duration RegionDelay{};
  std::size_t FailureDomains = 1;
  std::size_t Regions = 1;
  /// Probability that a datagram is lost, whatever its sender and receiver.
  double Loss = 0;
  /// Seeds what the instances draw, and which datagrams are lost.
  std::uint64_t Seed = 0;
};

/// Memberships that exchange datagrams. Instance n is in failure domain n
/// modulo their number; these are dealt to the regions in the same way.
class lossy_fleet {
public:
  explicit lossy_fleet(const lossy_fleet_options &Options);

  /// Runs for \p Time. A datagram from or to an instance in Losses is lost with
  /// that probability.
  void run(duration Time);
  /// The process of \p Index ends.
  void kill(std::size_t Index);
  /// A new process of \p Index starts, which knows of no failure.
  void restart(std::size_t Index);

  /// Returns the longest time for which an instance considered another not up
  /// that wasn't killed.
  [[nodiscard]] duration longestFalseDown() const { return LongestFalseDown; }
  /// Returns the number of running instances that consider \p Name up.
  [[nodiscard]] std::size_t countUpViews(const std::string &Name) const;
  /// Returns the number of pairs of a running instance and one that was killed
  /// or not, as \p IsKilled says, that it considers up.
  [[nodiscard]] std::size_t countUpViews(bool IsKilled) const;
  /// Returns the number of pairs of instances, neither of them excluded, of
  /// which the first wrongly considers the second not up.
  [[nodiscard]] std::size_t
  countWrongViews(const std::function<bool(std::size_t)> &IsExcluded) const;

  std::map<std::string, double> Losses;

private:
  void start(std::size_t Index);
  [[nodiscard]] std::size_t regionOf(std::size_t Index) const;
  void recordDownTimes(std::size_t Index);
  bool isLost(const std::string &Name);
  void deliverDue();
  void sendAll(std::size_t From,
               std::vector<outgoing_membership_message> Messages);

  struct datagram {
    std::size_t From = 0;
    outgoing_membership_message Message;
  };
  lossy_fleet_options Options;
  std::vector<membership> Members;
  std::vector<bool> IsDead;
  std::map<std::string, std::string> FailureDomains;
  std::map<std::string, std::size_t> ByName;
  std::multimap<instant, datagram> InFlight;
  std::map<std::pair<std::size_t, std::string>, instant> DownSince;
  std::set<std::string> EverKilled;
  duration LongestFalseDown{};
  instant Now{std::chrono::seconds(100)};
  std::mt19937_64 Random;
};

} // namespace amaranthhoist
