#include "Core/core.h"

#include <xxhash.h>

namespace amaranthhoist {

std::string_view toString(outcome Value) {
  switch (Value) {
  case outcome::Answered:
    return "answered";
  case outcome::Refused:
    return "refused";
  case outcome::NotRun:
    return "not-run";
  case outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousScore(std::uint64_t Member, std::uint64_t Hash) {
  return (Member ^ Hash) * 0x9e3779b97f4a7c15U;
}

} // namespace amaranthhoist
