#include "verdict.h"

#include "Text/text.h"
#include "target_stand_in.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

/// Status codes that guarantee that the request was not and will not be
/// executed.
static bool promisesNotRun(int Status) {
  static constexpr std::array<int, 4> Promises = {408, 421, 429, 503};
  return std::find(Promises.begin(), Promises.end(), Status) != Promises.end();
}

/// Status codes permitted for a well-formed request; 0 means no response.
static bool isPermitted(int Status) {
  static constexpr std::array<int, 5> Permitted = {0, 200, 502, 503, 504};
  return std::find(Permitted.begin(), Permitted.end(), Status) !=
         Permitted.end();
}

static void checkAttempt(const observed_attempt &Attempt, int Runs,
                         std::vector<std::string> &Broken) {
  if (!Attempt.IsIdempotent && Runs > 1)
    Broken.push_back(
        cat(Attempt.Id, " is not idempotent and ran ", Runs, " times"));
  if (!Attempt.IsIdempotent && promisesNotRun(Attempt.Status) && Runs > 0)
    Broken.push_back(cat(Attempt.Id, " ran and was answered ", Attempt.Status));
  if (!isPermitted(Attempt.Status))
    Broken.push_back(
        cat(Attempt.Id, " is well-formed and was answered ", Attempt.Status));
  if (Attempt.Status == 0 || Attempt.Status / 100 != 2) {
    if (Attempt.Status != 0 && Attempt.HasSignature)
      Broken.push_back(
          cat(Attempt.Id, " got a failure with a server's signature"));
    return;
  }
  if (!Attempt.HasSignature)
    Broken.push_back(cat(Attempt.Id, " got a success without a signature"));
  if (Attempt.Body != target_stand_in::bodyFor(Attempt.Id))
    Broken.push_back(
        cat(Attempt.Id, " got a body that isn't its complete own response"));
  if (Runs == 0)
    Broken.push_back(cat(Attempt.Id, " got a success and never ran"));
}

std::vector<std::string>
checkAttempts(std::span<const observed_attempt> Attempts,
              const run_counts &Runs) {
  std::vector<std::string> Broken;
  text_set Sent;
  for (const observed_attempt &Attempt : Attempts) {
    Sent.insert(Attempt.Id);
    auto Found = Runs.find(Attempt.Id);
    checkAttempt(Attempt, Found == Runs.end() ? 0 : Found->second, Broken);
  }
  for (const auto &[Id, Count] : Runs)
    if (!Sent.contains(Id))
      Broken.push_back(cat("a server ran '", Id, "', which no caller sent"));
  return Broken;
}

} // namespace amaranthhoist
