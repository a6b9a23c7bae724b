#include "verdict.h"

#include "Text/text.h"
#include "target_stand_in.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

/// Answers that say: not run, and never will be.
static bool promisesNotRun(int Status) {
  static constexpr std::array<int, 4> Promises = {408, 421, 429, 503};
  return std::find(Promises.begin(), Promises.end(), Status) != Promises.end();
}

/// Answers that a sound request may get; 0 is none at all.
static bool isPermitted(int Status) {
  static constexpr std::array<int, 5> Permitted = {0, 200, 502, 503, 504};
  return std::find(Permitted.begin(), Permitted.end(), Status) !=
         Permitted.end();
}

static void checkAttempt(const attempt_seen &Attempt, int Runs,
                         std::vector<std::string> &Broken) {
  if (!Attempt.IsIdempotent && Runs > 1)
    Broken.push_back(
        cat(Attempt.Id, " is not idempotent and ran ", Runs, " times"));
  if (!Attempt.IsIdempotent && promisesNotRun(Attempt.Status) && Runs > 0)
    Broken.push_back(cat(Attempt.Id, " ran and was answered ", Attempt.Status));
  if (!isPermitted(Attempt.Status))
    Broken.push_back(
        cat(Attempt.Id, " is proper and was answered ", Attempt.Status));
  if (Attempt.Status == 0 || Attempt.Status / 100 != 2) {
    if (Attempt.Status != 0 && Attempt.HasSignature)
      Broken.push_back(
          cat(Attempt.Id, " got a failure with a server's signature"));
    return;
  }
  if (!Attempt.HasSignature)
    Broken.push_back(cat(Attempt.Id, " got a success without a signature"));
  if (Attempt.Body != target_stand_in::bodyFor(Attempt.Id))
    Broken.push_back(cat(Attempt.Id, " got a body that isn't its whole own"));
  if (Runs == 0)
    Broken.push_back(cat(Attempt.Id, " got a success and never ran"));
}

std::vector<std::string> checkAttempts(std::span<const attempt_seen> Attempts,
                                       const run_counts &Runs) {
  std::vector<std::string> Broken;
  text_set Sent;
  for (const attempt_seen &Attempt : Attempts) {
    Sent.insert(Attempt.Id);
    auto Found = Runs.find(Attempt.Id);
    checkAttempt(Attempt, Found == Runs.end() ? 0 : Found->second, Broken);
  }
  for (const auto &[Id, Count] : Runs)
    if (!Sent.contains(Id))
      Broken.push_back(cat("a server ran '", Id, "', which nobody sent"));
  return Broken;
}

} // namespace amaranthhoist
