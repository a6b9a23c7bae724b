// Runs the tests of node processes.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <csignal>

int main(int ArgumentCount, char **Arguments) {
  // The detector reports static objects of the libraries as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
