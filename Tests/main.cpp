// Runs all unit tests of the libraries.

#include <CppUTest/CommandLineTestRunner.h>

int main(int ArgumentCount, char **Arguments) {
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
