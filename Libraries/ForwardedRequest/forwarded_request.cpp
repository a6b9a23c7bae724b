#include "ForwardedRequest/forwarded_request.h"

#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr std::string_view AttemptsLeftField = "Forwarded-Attempts-Left";
static constexpr std::string_view VersionField = "Forwarded-Version";
static constexpr std::string_view AccountField = "Forwarded-Account";
/// Fields of a statement at the start of a head: the remaining time and the
/// three above.
static constexpr std::size_t FieldsOfStatement = 4;

std::string encodeForwardingFields(const forwarded_request &Request,
                                   std::string_view TimeLeftName,
                                   std::int64_t TimeLeftMs) {
  std::string Text;
  appendField(Text, TimeLeftName, cat(TimeLeftMs));
  appendField(Text, AttemptsLeftField, cat(Request.AttemptsLeft));
  appendField(Text, VersionField, cat(Request.Version));
  // Written even if it is empty: an earlier build takes the first field of this
  // name, which would otherwise be the caller's.
  appendField(Text, AccountField, Request.Account);
  return Text;
}

static void decodeField(const message_head::field &Field,
                        forwarded_request &Request) {
  if (equalsIgnoringCase(Field.Name, AttemptsLeftField))
    Request.AttemptsLeft = parseNumber<int>(Field.Value).value_or(1);
  else if (equalsIgnoringCase(Field.Name, VersionField))
    Request.Version = parseNumber<std::int64_t>(Field.Value).value_or(0);
  else if (equalsIgnoringCase(Field.Name, AccountField))
    Request.Account = Field.Value;
}

forwarding_fields decodeForwardingFields(const message_head &Head,
                                         std::string_view TimeLeftName) {
  forwarding_fields Fields;
  const std::size_t Count = Head.fieldCount();
  while (Fields.Begin < Count &&
         !equalsIgnoringCase(Head.fieldAt(Fields.Begin).Name, TimeLeftName))
    ++Fields.Begin;
  Fields.End = Fields.Begin == 0 ? std::min(Count, FieldsOfStatement) : Count;
  for (std::size_t Index = Fields.Begin; Index < Fields.End; ++Index)
    decodeField(Head.fieldAt(Index), Fields.Request);
  return Fields;
}

bool isOwnResponseField(std::string_view Name) {
  return equalsIgnoringCase(Name, AttemptsField) ||
         equalsIgnoringCase(Name, AskOthersField);
}

} // namespace amaranthhoist
