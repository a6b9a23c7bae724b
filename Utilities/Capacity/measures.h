/// The measurements behind docs/CAPACITY.md. Each prints its measured points
/// and a line fitted to them.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace amaranthhoist {

struct measured_point {
  double Size = 0;
  double Value = 0;
};

/// Least-squares fit of Value = Base + PerUnit * Size.
struct fitted_line {
  double Base = 0;
  double PerUnit = 0;
  double at(double Size) const { return Base + PerUnit * Size; }
};

fitted_line fit(const std::vector<measured_point> &Points);

/// Prints the points, the fitted line and its value at \p Target.
void printSlope(const std::string &Name, const std::string &Unit,
                const std::vector<measured_point> &Points, double Target);

/// Returns the mean duration of \p Function in nanoseconds, over \p Calls
/// calls.
double nanosecondsPerCall(int Calls, const std::function<void(int)> &Function);

/// Returns the number of heap bytes in use.
double heapBytes();

void measureClientMap();
void measureReplica();
void measureMembership();
void measureConvergence();
void measureStore();
void measureDecisions();

} // namespace amaranthhoist
