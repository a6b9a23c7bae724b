// amaranthhoist: the command line for operators.

#include "Daemon/daemon.h"
#include "context.h"

#include <cxxopts.hpp>
#include <iostream>
#include <map>

using namespace amaranthhoist;

static const std::map<std::string, result<bool> (*)(command_context &)> &
commands() {
  static const std::map<std::string, result<bool> (*)(command_context &)>
      Commands = {{"contract", runContract}, {"drain", runDrain},
                  {"site", runSite},         {"target", runTarget},
                  {"instance", runInstance}, {"explain", runExplain},
                  {"settings", runSettings}, {"status", runStatus}};
  return Commands;
}

static constexpr const char *Usage = R"(
Commands:
  contract apply FILE [--wait] [--base VERSION]
  contract get CUSTOMER | list | diff FILE | delete CUSTOMER
  drain start target|site|instance NAME [--force]
  drain status | drain cancel target|site|instance NAME
  site status | site apply FILE | target apply FILE
  instance status
  status                       state of each node, and the age of that state
  explain REQUEST [--log FILE,...]
                               steps and causes of a request, from node logs
  explain CUSTOMER SERVICE     where a request would be routed, and why
  settings check FILE          validate settings of a node or of the three daemons

Exit codes: 0 success, 1 failure, 2 usage error or invalid file.
)";

static cxxopts::Options makeOptions() {
  cxxopts::Options Options("amaranthhoist",
                           "Command line of amaranthhoist for operators.");
  Options.add_options()(
      "platform", "base URL of the platform's object API",
      cxxopts::value<std::string>()->default_value("http://127.0.0.1:9000"),
      "URL")("control", "controls to query, comma-separated ip:port",
             cxxopts::value<std::vector<std::string>>()->default_value(
                 "127.0.0.1:9300"),
             "LIST")("output", "output format: table or json",
                     cxxopts::value<std::string>()->default_value("table"))(
      "wait", "wait until the change is in force at every control")(
      "wait-ms", "maximum time to wait, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("10000"))(
      "base", "version that the change is based on; -1: the current version",
      cxxopts::value<std::int64_t>()->default_value("-1"))(
      "force", "start a drain even if the remaining capacity is insufficient")(
      "log", "log files to read, comma-separated; default: standard input",
      cxxopts::value<std::vector<std::string>>(),
      "FILES")("version", "print the version")("h,help", "print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"words"});
  Options.positional_help("COMMAND ...");
  return Options;
}

static command_context contextOf(const cxxopts::ParseResult &Parsed) {
  command_context Context;
  Context.Platform = Parsed["platform"].as<std::string>();
  Context.Controls = Parsed["control"].as<std::vector<std::string>>();
  Context.Wait = Parsed.count("wait") != 0;
  Context.WaitMs = Parsed["wait-ms"].as<std::int64_t>();
  Context.Base = Parsed["base"].as<std::int64_t>();
  Context.Force = Parsed.count("force") != 0;
  if (Parsed.count("log") != 0)
    Context.Logs = Parsed["log"].as<std::vector<std::string>>();
  if (Parsed["output"].as<std::string>() == "json")
    Context.Output = output_format::Json;
  if (Parsed.count("words") != 0)
    Context.Arguments = Parsed["words"].as<std::vector<std::string>>();
  return Context;
}

static int runCommand(command_context Context) {
  const std::string Name =
      Context.Arguments.empty() ? "" : Context.Arguments[0];
  auto Command = commands().find(Name);
  if (Command == commands().end()) {
    std::cerr << "amaranthhoist: unknown command; see --help\n";
    return exit_codes::Usage;
  }
  Context.Arguments.erase(Context.Arguments.begin());
  const result<bool> Result = Command->second(Context);
  if (Result)
    return exit_codes::Success;
  std::cerr << Result.error().Message << "\n";
  return Result.error().Code == error_code::Invalid ? exit_codes::Usage
                                                    : exit_codes::Failure;
}

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options = makeOptions();
  try {
    const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help() << Usage;
      return exit_codes::Success;
    }
    if (Parsed.count("version") != 0) {
      std::cout << "amaranthhoist " << ProgramVersion << "\n";
      return exit_codes::Success;
    }
    return runCommand(contextOf(Parsed));
  } catch (const cxxopts::exceptions::exception &Exception) {
    std::cerr << "amaranthhoist: " << Exception.what() << "\n";
    return exit_codes::Usage;
  }
}
