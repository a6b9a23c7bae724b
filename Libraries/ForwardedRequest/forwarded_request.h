/// Header fields between an instance that forwards a request and the one that
/// serves it. Valid only on connections to the address for other instances.
#pragma once

#include "HttpMessage/http_message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// In responses that the serving instance made itself: the number of attempts
/// that reached a server. A server's response has no such field.
inline constexpr std::string_view AttemptsField = "Forwarded-Attempts";
/// In such responses: the refusal concerns the instance alone, and another one
/// may serve the request.
inline constexpr std::string_view AskOthersField = "Forwarded-Ask-Others";
/// Value of that field if the instance serves as many requests of others as it
/// may.
inline constexpr std::string_view BusyValue = "busy";

/// What an instance that forwards a request states about it.
struct forwarded_request {
  /// The account whose key it confirmed; empty if the route needs none.
  std::string Account;
  /// Servers that the request may still be sent to.
  int AttemptsLeft = 1;
  /// The version of the configuration by which it decided; 0 if not stated.
  std::int64_t Version = 0;
};

/// The statement in a request's head, and where in the head it stands.
struct forwarding_fields {
  forwarded_request Request;
  /// Indexes of the first field and of the field after the last one.
  std::size_t Begin = 0;
  std::size_t End = 0;

  [[nodiscard]] bool contains(std::size_t Index) const {
    return Index >= Begin && Index < End;
  }
};

/// Encodes the fields that start the head of a forwarded request, before all
/// fields of the caller. The first one is \p TimeLeftName, the remaining time
/// in milliseconds.
std::string encodeForwardingFields(const forwarded_request &Request,
                                   std::string_view TimeLeftName,
                                   std::int64_t TimeLeftMs);

/// Finds the statement by its position, since a caller's fields may have the
/// same names. Of \p TimeLeftName, instances forward none but their own. An
/// earlier build writes it and the statement behind the caller's fields.
forwarding_fields decodeForwardingFields(const message_head &Head,
                                         std::string_view TimeLeftName);

/// Whether \p Name is a field by which an instance describes its own responses.
/// A server's response must not reach another instance with it.
bool isOwnResponseField(std::string_view Name);

} // namespace amaranthhoist
