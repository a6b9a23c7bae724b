// path-benchmark: what the path adds to a request, as ratios in one run: the
// same request straight to a backend stand-in and through an entry and a
// gateway; look-ups per second; memory per connection.

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

/// One measured way.
struct way {
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

void measureOnce(http_client &Client, way &Way) {
  const instant Begin = currentInstant();
  const http_call_result Result = Client.call(Way.Call);
  const duration Took = currentInstant() - Begin;
  if (Result.End == call_end::Complete && Result.Status == 200)
    Way.Microseconds.push_back(double(Took.count()));
  else
    ++Way.Failures;
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

void printWay(way &Way, way &Direct) {
  const double Half = percentile(Way.Microseconds, 0.5);
  const double Most = percentile(Way.Microseconds, 0.99);
  std::printf("  %-26s p50 %7.0f us, p99 %7.0f us, over direct %+7.0f and "
              "%+7.0f us, ratio %.2f and %.2f, failures %d\n",
              Way.Name, Half, Most, Half - percentile(Direct.Microseconds, 0.5),
              Most - percentile(Direct.Microseconds, 0.99),
              Half / percentile(Direct.Microseconds, 0.5),
              Most / percentile(Direct.Microseconds, 0.99), Way.Failures);
}

/// Interleaved, so that whatever else the machine does falls on all alike.
void measureLatency(const std::string &Entry, const std::string &Backend,
                    int Count) {
  way Direct{"direct", {}, {}};
  Direct.Call.Url = "http://" + Backend + "/dates/1?work_ms=0";
  Direct.Call.Headers["X-Request-Id"] = "direct";
  way Path{"through, idempotent", {}, {}};
  Path.Call.Url = "http://" + Entry + "/v1/run/enquiry-desk/dates/1?work_ms=0";
  Path.Call.Headers["X-Customer"] = "customer-1";
  way DirectNew = Direct;
  DirectNew.Name = "direct, new connection";
  DirectNew.Call.Method = "POST";
  DirectNew.Call.FreshConnection = true;
  way Keyed = Path;
  Keyed.Name = "through, non-idempotent";
  Keyed.Call.Method = "POST";
  http_client First;
  http_client Second;
  http_client Third;
  http_client Fourth;
  const std::string Home = homeFrom(Entry);
  // The stand-ins are cold at first, each of their slots once.
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
  printWay(Direct, Direct);
  printWay(Path, Direct);
  printWay(DirectNew, DirectNew);
  printWay(Keyed, DirectNew);
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
  cxxopts::Options Options("path-benchmark", "What the path adds.");
  Options.add_options()("entry", "ip:port", cxxopts::value<std::string>())(
      "backend", "ip:port", cxxopts::value<std::string>())(
      "count", "requests of each way",
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
