/// Seeded mutations of sample inputs for the decoders' tests.
#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// Number of mutated inputs for each decoder: AMARANTHHOIST_ROUNDS, or few.
int fuzzRounds();

class mutator {
public:
  explicit mutator(std::uint64_t Seed) : Random(Seed) {}

  /// Returns one of \p Samples with up to six changes: bytes that are flipped,
  /// replaced, removed or repeated, pieces of \p Words that are inserted, and
  /// pieces of other samples.
  std::string mutate(std::span<const std::string> Samples,
                     std::span<const std::string_view> Words);
  /// A number below \p End.
  std::size_t below(std::size_t End);

private:
  void change(std::string &Text, std::span<const std::string> Samples,
              std::span<const std::string_view> Words);

  std::mt19937_64 Random;
};

} // namespace amaranthhoist
