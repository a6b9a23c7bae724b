/// What a running process uses, as the kernel states it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <sys/types.h>

namespace amaranthhoist {

/// The largest resident memory of \p Process so far, in KB; 0 if it is gone.
std::int64_t peakMemoryKb(pid_t Process);

/// The number of open descriptors of \p Process; 0 if it is gone.
std::size_t openDescriptors(pid_t Process);

} // namespace amaranthhoist
