#include "process_usage.h"

#include "Text/text.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace amaranthhoist {

std::int64_t peakMemoryKb(pid_t Process) {
  std::ifstream File(cat("/proc/", Process, "/status"));
  std::string Word;
  std::int64_t Value = 0;
  while (File >> Word)
    if (Word == "VmHWM:")
      File >> Value;
  return Value;
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Gone;
  std::size_t Count = 0;
  for ([[maybe_unused]] const auto &Entry :
       std::filesystem::directory_iterator(cat("/proc/", Process, "/fd"), Gone))
    ++Count;
  return Count;
}

} // namespace amaranthhoist
