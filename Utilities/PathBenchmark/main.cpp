// path-benchmark: measures the overhead of the path on a request, as ratios
// within one run: the same request sent directly to a backend stand-in and
// through an entry and a gateway. Also measures look-ups and requests per
// second. Utilities/benchmark.sh measures the memory per connection.

#include "Daemon/daemon.h"
#include "Http/http.h"
#include "Timers/timers.h"

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace amaranthhoist;

namespace {

constexpr int WarmUp = 1'500;

/// One request as it is measured, sent directly or through the path.
struct request_variant {
  const char *Name;
  http_call Call;
  std::vector<double> Microseconds;
  int Failures = 0;
};

double percentile(std::vector<double> &Values, double Part) {
  std::sort(Values.begin(), Values.end());
  return Values.empty() ? 0
                        : Values[static_cast<std::size_t>(
                              Part * double(Values.size() - 1))];
}

void measureOnce(http_client &Client, request_variant &Variant) {
  const instant Begin = currentInstant();
  const http_call_result Result = Client.call(Variant.Call);
  const duration Elapsed = currentInstant() - Begin;
  if (Result.End == call_end::Complete && Result.Status == 200)
    Variant.Microseconds.push_back(double(Elapsed.count()));
  else
    ++Variant.Failures;
}

std::string homeFrom(const std::string &Entry) {
  http_client Client;
  http_call Call;
  Call.Url = "http://" + Entry +
             "/v1/entries?customer=customer-1&service=enquiry-desk";
  const auto Document =
      nlohmann::json::parse(Client.call(Call).Body, nullptr, false);
  return Document.is_object() ? Document.value("home", "") : "";
}

void printVariant(request_variant &Variant, request_variant &Direct) {
  const double P50 = percentile(Variant.Microseconds, 0.5);
  const double P99 = percentile(Variant.Microseconds, 0.99);
  std::printf("  %-26s p50 %7.0f us, p99 %7.0f us, over direct %+7.0f and "
              "%+7.0f us, ratio %.2f and %.2f, failures %d\n",
              Variant.Name, P50, P99,
              P50 - percentile(Direct.Microseconds, 0.5),
              P99 - percentile(Direct.Microseconds, 0.99),
              P50 / percentile(Direct.Microseconds, 0.5),
              P99 / percentile(Direct.Microseconds, 0.99), Variant.Failures);
}

/// Interleaves the variants, so that other load on the machine affects all of
/// them equally.
void measureLatency(const std::string &Entry, const std::string &Backend,
                    int Count) {
  request_variant Direct{"direct", {}, {}};
  Direct.Call.Url = "http://" + Backend + "/dates/1?work_ms=0";
  Direct.Call.Headers["X-Request-Id"] = "direct";
  request_variant Path{"through, idempotent", {}, {}};
  Path.Call.Url = "http://" + Entry + "/v1/run/enquiry-desk/dates/1?work_ms=0";
  Path.Call.Headers["X-Customer"] = "customer-1";
  request_variant DirectNew = Direct;
  DirectNew.Name = "direct, new connection";
  DirectNew.Call.Method = "POST";
  DirectNew.Call.FreshConnection = true;
  request_variant Keyed = Path;
  Keyed.Name = "through, non-idempotent";
  Keyed.Call.Method = "POST";
  http_client First;
  http_client Second;
  http_client Third;
  http_client Fourth;
  const std::string Home = homeFrom(Entry);
  // Warm-up: the first request of each slot of a stand-in is slower.
  for (int Number = 0; Number < WarmUp; ++Number)
    Second.call(Path.Call);
  for (int Number = 0; Number < Count; ++Number) {
    measureOnce(First, Direct);
    measureOnce(Second, Path);
    measureOnce(Third, DirectNew);
    Keyed.Call.Headers["Idempotency-Key"] = Home + ".bench-" +
                                            std::to_string(Number) + "-" +
                                            std::to_string(currentWallMs());
    measureOnce(Fourth, Keyed);
  }
  printVariant(Direct, Direct);
  printVariant(Path, Direct);
  printVariant(DirectNew, DirectNew);
  printVariant(Keyed, DirectNew);
}

void measureRate(const char *Name, const std::string &Url, int Threads,
                 int Seconds) {
  std::atomic<std::int64_t> Done = 0;
  std::vector<std::thread> Running;
  Running.reserve(static_cast<std::size_t>(Threads));
  const instant Until = currentInstant() + std::chrono::seconds(Seconds);
  for (int Thread = 0; Thread < Threads; ++Thread)
    Running.emplace_back([&] {
      http_client Client;
      http_call Call;
      Call.Url = Url;
      Call.Headers["X-Customer"] = "customer-1";
      while (currentInstant() < Until)
        if (Client.call(Call).Status == 200)
          ++Done;
    });
  for (std::thread &Thread : Running)
    Thread.join();
  std::printf("  %s: %.0f/s with %d callers\n", Name, double(Done) / Seconds,
              Threads);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options(
      "path-benchmark",
      "Measures the overhead of the path through an entry and a gateway.");
  Options.add_options()("entry", "ip:port", cxxopts::value<std::string>())(
      "backend", "ip:port", cxxopts::value<std::string>())(
      "count", "number of requests of each variant",
      cxxopts::value<int>()->default_value("2000"));
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    const auto Entry = Parsed["entry"].as<std::string>();
    measureLatency(Entry, Parsed["backend"].as<std::string>(),
                   Parsed["count"].as<int>());
    measureRate("look-ups",
                "http://" + Entry +
                    "/v1/entries?customer=customer-1&service=enquiry-desk",
                4, 3);
    measureRate("requests",
                "http://" + Entry + "/v1/run/enquiry-desk/dates/1?work_ms=0", 8,
                3);
    return exit_codes::Success;
  } catch (const cxxopts::exceptions::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return exit_codes::Usage;
  }
}
