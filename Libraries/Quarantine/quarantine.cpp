#include "Quarantine/quarantine.h"

#include "Text/text.h"

namespace amaranthhoist {

std::uint64_t contentHash(const request_content &Content) {
  std::uint64_t Hash = 0;
  for (std::string_view Part :
       {Content.Method, Content.Host, Content.Target, Content.ObjectKey,
        Content.Credentials, Content.Body})
    Hash = stableHash(Part, Hash);
  return Hash;
}

std::string contentName(std::uint64_t Content) {
  std::string Name;
  appendHex(Name, Content, 16);
  return Name;
}

} // namespace amaranthhoist
