// Runs all unit tests of the libraries.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int ArgumentCount, char **Arguments) {
  // The detector reports static objects of the libraries as leaks. The
  // sanitizer build detects real leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
