// amaranthhoist: the operators' command line.

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
  status                       what nodes believe, and how old it is
  explain REQUEST [--log FILE,...]
                               from nodes' logs: a request's story and cause
  explain CUSTOMER SERVICE     where a request would go, and why
  settings check FILE          of a node, or of the three daemons

Exit codes: 0 done, 1 failed, 2 wrong usage or a faulty file.
)";

static cxxopts::Options makeOptions() {
  cxxopts::Options Options("amaranthhoist",
                           "Operators' command line of amaranthhoist.");
  Options.add_options()(
      "platform", "base address of the platform's object API",
      cxxopts::value<std::string>()->default_value("http://127.0.0.1:9000"),
      "URL")("control", "controls to ask, ip:port, comma between",
             cxxopts::value<std::vector<std::string>>()->default_value(
                 "127.0.0.1:9300"),
             "LIST")("output", "table or json",
                     cxxopts::value<std::string>()->default_value("table"))(
      "wait", "wait until in force everywhere")(
      "wait-ms", "longest wait",
      cxxopts::value<std::int64_t>()->default_value("10000"))(
      "base", "version that the change is based on",
      cxxopts::value<std::int64_t>()->default_value("-1"))(
      "force", "start a drain that doesn't fit")(
      "log", "logs to read, comma between; none: standard input",
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
    Context.Words = Parsed["words"].as<std::vector<std::string>>();
  return Context;
}

static int runCommand(command_context Context) {
  const std::string Name = Context.Words.empty() ? "" : Context.Words[0];
  auto Command = commands().find(Name);
  if (Command == commands().end()) {
    std::cerr << "amaranthhoist: no such command; see --help\n";
    return exit_codes::Usage;
  }
  Context.Words.erase(Context.Words.begin());
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
