#include "measures.h"

#include "Timers/timers.h"

#include <cstdio>
#include <malloc.h>

namespace amaranthhoist {

fitted_line fit(const std::vector<measured_point> &Points) {
  const auto Count = static_cast<double>(Points.size());
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const measured_point &Point : Points) {
    SumX += Point.Size;
    SumY += Point.Value;
    SumXX += Point.Size * Point.Size;
    SumXY += Point.Size * Point.Value;
  }
  fitted_line Line;
  const double Spread = Count * SumXX - SumX * SumX;
  Line.PerUnit = Spread == 0 ? 0 : (Count * SumXY - SumX * SumY) / Spread;
  Line.Base = (SumY - Line.PerUnit * SumX) / Count;
  return Line;
}

void printSlope(const std::string &Name, const std::string &Unit,
                const std::vector<measured_point> &Points, double Target) {
  std::printf("  %s [%s]:", Name.c_str(), Unit.c_str());
  for (const measured_point &Point : Points)
    std::printf(" %.0f -> %.4g;", Point.Size, Point.Value);
  const fitted_line Line = fit(Points);
  std::printf(" fit %.4g + %.4g x; at %.0f: %.4g\n", Line.Base, Line.PerUnit,
              Target, Line.at(Target));
}

double nanosecondsPerCall(int Calls, const std::function<void(int)> &Function) {
  const auto Begin = std::chrono::steady_clock::now();
  for (int Call = 0; Call < Calls; ++Call)
    Function(Call);
  const std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Begin;
  return Took.count() / Calls;
}

double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks) + static_cast<double>(Info.hblkhd);
}

} // namespace amaranthhoist
