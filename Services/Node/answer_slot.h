/// One request's place in the order of answers on a caller's connection. A
/// caller may send further requests before the first is answered; they are
/// served side by side, and each answer waits here until those before it are
/// out.
#pragma once

#include "exchange.h"
#include "node.h"
#include "target_pool.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

class answer_slot;

/// The connection, as its slots use it.
class slot_owner {
public:
  virtual ~slot_owner() = default;
  /// Whether \p Slot is the one whose answer goes out now.
  virtual bool isFirst(const answer_slot &Slot) const = 0;
  virtual void sendNow(std::string_view Bytes) = 0;
  /// Bytes that the caller hasn't taken yet.
  virtual std::size_t unsentNow() const = 0;
  /// Decides whether the connection goes on after the answer of \p Slot.
  virtual bool goesOnAfter(const answer_slot &Slot) = 0;
  /// The first slot's answer is out, or can't be completed.
  virtual void onFirstOver() = 0;
};

class answer_slot : public retirable, private exchange_caller {
public:
  /// \p BodyBytes of the request count towards the node's limit while it lasts.
  answer_slot(node &Node, target_pool &Pool, slot_owner &Owner,
              caller_request Request, bool AsksToKeepAlive,
              std::size_t BodyBytes);
  ~answer_slot() override;

  void begin() { Exchange->begin(); }
  /// The slot has become the first: sends what it held back.
  void becomeFirst();
  [[nodiscard]] bool isOver() const { return IsOver; }
  /// The answer broke off: the connection has to be cut so that it shows.
  [[nodiscard]] bool isCut() const { return IsCut; }
  /// The answer says that the connection ends with it.
  [[nodiscard]] bool saysClose() const { return SaysClose; }
  /// The caller asked for the connection to go on.
  [[nodiscard]] bool asksToKeepAlive() const { return AsksToKeepAlive; }
  void callerDrained() { Exchange->callerDrained(); }
  /// The caller has gone. The exchange, if its work goes on without it.
  std::unique_ptr<exchange> callerLeft();
  void noteCutOff() const;

private:
  void send(std::string_view Bytes) override;
  std::size_t unsent() const override;
  bool keepsAlive() override;
  bool takesChunks() const override { return true; }
  void onAnswered() override;
  void cutShort() override;

  node &Node;
  slot_owner &Owner;
  std::unique_ptr<exchange> Exchange;
  /// The answer as far as it is known, until the slot is the first.
  std::string Waiting;
  std::size_t BodyBytes;
  bool AsksToKeepAlive;
  bool SaysClose = false;
  bool IsOver = false;
  bool IsCut = false;
};

} // namespace amaranthhoist
