// capacity: prints the slopes from which docs/CAPACITY.md is derived.

#include "measures.h"

#include <cstdio>

using namespace amaranthhoist;

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  measureClientMap();
  measureReplica();
  measureMembership();
  measureDecisions();
  measureStore();
  measureConvergence();
  return 0;
}
