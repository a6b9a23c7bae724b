/// The measurements behind docs/CAPACITY.md. Each prints its points and a line
/// fitted through them.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// One measured point.
struct measured_point {
  double Size = 0;
  double Value = 0;
};

/// Value = Base + PerUnit * Size, by least squares.
struct fitted_line {
  double Base = 0;
  double PerUnit = 0;
  double at(double Size) const { return Base + PerUnit * Size; }
};

fitted_line fit(const std::vector<measured_point> &Points);

/// Prints points, fit and the value at \p Target.
void printSlope(const std::string &Name, const std::string &Unit,
                const std::vector<measured_point> &Points, double Target);

/// Nanoseconds per call of \p Function, over \p Calls calls.
double nanosecondsPerCall(int Calls, const std::function<void(int)> &Function);

/// Bytes of heap in use.
double heapBytes();

void measureClientMap();
void measureReplica();
void measureMembership();
void measureConvergence();
void measureStore();
void measureDecisions();

} // namespace amaranthhoist
