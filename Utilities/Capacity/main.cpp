// capacity: prints the slopes that docs/CAPACITY.md is worked out from.

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
