/// Writes log lines as JSON to standard error, through log4cxx.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthhoist {

enum class log_level : unsigned char { Debug, Info, Warn, Error };

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Initialises the log of this process. \p Level takes the same values as in
/// the settings.
void setUpLogging(const std::string &Daemon, const std::string &Instance,
                  const std::string &Level);

/// Writes one line with time, level, daemon, instance, message and \p Fields.
void logLine(log_level Level, std::string_view Message,
             std::initializer_list<log_field> Fields = {});

} // namespace amaranthhoist
