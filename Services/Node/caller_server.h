/// Accepts callers' connections and keeps them and their exchanges.
#pragma once

#include "Text/text.h"
#include "caller_connection.h"
#include "node.h"
#include "target_pool.h"

#include <absl/container/flat_hash_map.h>
#include <memory>

namespace amaranthhoist {

class caller_server : private io_handler {
public:
  caller_server(node &Node, target_pool &Pool);
  ~caller_server() override;

  result<bool> listen(const endpoint &Endpoint);
  /// Takes no more connections.
  void stopListening();
  /// Ends connections without a request.
  void endIdleConnections();
  /// Whether any request is being read or served, with or without its caller.
  [[nodiscard]] bool isBusy() const;

  /// The process ends: leaves a line on each request that it cuts off, or an
  /// operator would find none that tells what became of it.
  void noteCutOff();

  void retire(caller_connection &Connection);
  /// Keeps an exchange whose caller has gone until it is over.
  void adopt(std::unique_ptr<exchange> Exchange);

private:
  void onEvent(const io_event &Event) override;
  void acceptAll();

  node &Node;
  target_pool &Pool;
  int Listener = -1;
  timer_id AcceptAgain = 0;
  absl::flat_hash_map<caller_connection *, std::unique_ptr<caller_connection>>
      Connections;
  absl::flat_hash_map<exchange *, std::unique_ptr<exchange>> Adopted;
};

} // namespace amaranthhoist
