#include "verdict.h"

#include "Text/text.h"
#include "target_stand_in.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

std::string_view toString(soak_key Key) {
  switch (Key) {
  case soak_key::None:
    return "none";
  case soak_key::Steady:
    return "steady";
  case soak_key::Bounded:
    return "bounded";
  case soak_key::Wrong:
    return "wrong";
  }
  return "none";
}

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

/// Whether the status is right for the key of the request.
static bool isPermittedForKey(const observed_attempt &Attempt) {
  if (Attempt.Key == soak_key::Wrong)
    return Attempt.Status == 401 || Attempt.Status == 0 ||
           Attempt.Status == 503;
  return isPermitted(Attempt.Status) ||
         (Attempt.Key == soak_key::Bounded && Attempt.Status == 429);
}

static void checkAttempt(const observed_attempt &Attempt, int Runs,
                         std::vector<std::string> &Broken) {
  if (!Attempt.IsIdempotent && Runs > 1)
    Broken.push_back(
        cat(Attempt.Id, " is not idempotent and ran ", Runs, " times"));
  if (!Attempt.IsIdempotent && promisesNotRun(Attempt.Status) && Runs > 0)
    Broken.push_back(cat(Attempt.Id, " ran and was answered ", Attempt.Status));
  if (!isPermittedForKey(Attempt))
    Broken.push_back(cat(Attempt.Id, " is well-formed, with key ",
                         toString(Attempt.Key), ", and was answered ",
                         Attempt.Status));
  if (Attempt.Key == soak_key::Wrong && Runs > 0)
    Broken.push_back(cat(Attempt.Id, " ran without a valid key"));
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
