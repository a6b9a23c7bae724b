#include "Fuzz/mutation.h"

#include <algorithm>
#include <cstdlib>

namespace amaranthhoist {

static constexpr int DefaultRounds = 20'000;
static constexpr std::size_t MaxChanges = 6;
/// Longest piece that is removed, repeated or taken from another sample.
static constexpr std::size_t MaxPiece = 40;

int fuzzRounds() {
  const char *Text = std::getenv("AMARANTHHOIST_ROUNDS");
  return Text ? std::atoi(Text) : DefaultRounds;
}

std::size_t mutator::below(std::size_t End) {
  return End == 0 ? 0 : static_cast<std::size_t>(Random() % End);
}

void mutator::change(std::string &Text, std::span<const std::string> Samples,
                     std::span<const std::string_view> Words) {
  const std::size_t At = below(Text.size() + 1);
  const std::size_t Size = std::min(1 + below(MaxPiece), Text.size() - At);
  const std::string &Other = Samples[below(Samples.size())];
  switch (below(6)) {
  case 0:
    if (At < Text.size())
      Text[At] = static_cast<char>(Text[At] ^ (1U << below(8)));
    return;
  case 1:
    if (At < Text.size())
      Text[At] = static_cast<char>(below(256));
    return;
  case 2:
    Text.erase(At, Size);
    return;
  case 3:
    Text.insert(At, std::string(Text, At, Size));
    return;
  case 4:
    if (!Words.empty())
      Text.insert(At, Words[below(Words.size())]);
    return;
  default:
    Text.insert(At, Other.substr(below(Other.size() + 1), MaxPiece));
  }
}

std::string mutator::mutate(std::span<const std::string> Samples,
                            std::span<const std::string_view> Words) {
  std::string Text = Samples[below(Samples.size())];
  for (std::size_t Count = 1 + below(MaxChanges); Count > 0; --Count)
    change(Text, Samples, Words);
  return Text;
}

} // namespace amaranthhoist
