/// The position of one request's response on a caller's connection. HTTP
/// pipelining lets a caller send further requests before the first response;
/// they are served concurrently, and each response is buffered here until all
/// earlier ones are sent.
#pragma once

#include "exchange.h"
#include "node.h"
#include "target_pool.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

class response_slot;

/// Interface to the connection that owns the slots.
class slot_owner {
public:
  virtual ~slot_owner() = default;
  /// Returns whether the response of \p Slot is the one being sent.
  virtual bool isFirst(const response_slot &Slot) const = 0;
  virtual void sendNow(std::string_view Bytes) = 0;
  /// Bytes written but not yet accepted by the caller.
  virtual std::size_t unsentBytes() const = 0;
  /// Decides whether the connection stays open after the response of \p Slot.
  virtual bool keepsAliveAfter(const response_slot &Slot) = 0;
  /// Called when the first slot's response is complete or aborted.
  virtual void onFirstDone() = 0;
};

class response_slot : public retirable, private exchange_caller {
public:
  /// \p BodyBytes count towards the node's limit on buffered bodies for the
  /// lifetime of the slot.
  response_slot(node &Node, target_pool &Pool, slot_owner &Owner,
                caller_request Request, bool RequestsKeepAlive,
                std::size_t BodyBytes);
  ~response_slot() override;

  void start() { Exchange->start(); }
  /// Called when the slot becomes the first. Sends the buffered response bytes.
  void onBecameFirst();
  [[nodiscard]] bool isDone() const { return IsDone; }
  /// Returns whether the response was aborted. The connection must then be
  /// reset so that the caller detects the truncation.
  [[nodiscard]] bool isAborted() const { return IsAborted; }
  /// Returns whether the response announces `Connection: close`.
  [[nodiscard]] bool closesConnection() const { return ClosesConnection; }
  /// Returns whether the request allows the connection to stay open.
  [[nodiscard]] bool requestsKeepAlive() const { return RequestsKeepAlive; }
  void onCallerDrained() { Exchange->onCallerDrained(); }
  /// Called when the caller disconnects. Returns the exchange if its work
  /// continues without the caller.
  std::unique_ptr<exchange> onCallerDisconnected();
  void logAborted() const;
  /// Memory of the request without its body, in bytes.
  [[nodiscard]] std::size_t heldBytes() const {
    return Exchange ? Exchange->heldBytes() : 0;
  }
  [[nodiscard]] const std::string &requestId() const { return RequestId; }

private:
  void send(std::string_view Bytes) override;
  void hold(std::string_view Bytes);
  std::size_t unsentBytes() const override;
  bool decideKeepAlive() override;
  bool supportsChunked() const override { return true; }
  void onResponseComplete() override;
  void abortResponse() override;

  node &Node;
  slot_owner &Owner;
  std::unique_ptr<exchange> Exchange;
  /// Response bytes buffered until the slot is the first.
  std::string PendingBytes;
  const std::string RequestId;
  std::size_t BodyBytes;
  memory_share Memory;
  bool RequestsKeepAlive;
  bool ClosesConnection = false;
  bool IsDone = false;
  bool IsAborted = false;
};

} // namespace amaranthhoist
