/// Internal to the gateway library.
#pragma once

#include "Gateway/gateway.h"

namespace amaranthhoist::gateway {

using actions = std::vector<gateway_action>;

// arrival.cpp
void handleArrival(gateway_node &Node, const request_arrived &Event,
                   moment Moment, actions &Actions);
void handleCancel(gateway_node &Node, std::uint64_t Token, actions &Actions);
void handleSealRequest(gateway_node &Node, const seal_requested &Event,
                       moment Moment, actions &Actions);

// dispatch.cpp
duration predictedWait(const gateway_node &Node, const std::string &Service);
/// Sends the queued requests of \p Service for which units are available and
/// requests loans for the rest.
void sendQueued(gateway_node &Node, const std::string &Service, moment Moment,
                actions &Actions);
void sendAllQueued(gateway_node &Node, moment Moment, actions &Actions);

// prospects.cpp
/// Whether every backend server of \p Service is draining or down, so that none
/// accepts work or is expected to accept it again.
bool hasNoServer(const gateway_node &Node, const std::string &Service);
/// Whether requests of \p Service have waited for units until the stall
/// timeout, with no work in progress here whose end would free any.
bool isStalled(const gateway_node &Node, const std::string &Service,
               instant Now);
/// Refuses the waiting requests of \p Service if they cannot be served.
void refuseUnservable(gateway_node &Node, const std::string &Service,
                      instant Now, actions &Actions);

// completion.cpp
/// Ends one request without a response from a target.
void abandonRequest(gateway_node &Node, std::uint64_t Token,
                    const std::string &Reason, actions &Actions);
void handleTargetEnded(gateway_node &Node, const attempt_ended &Event,
                       moment Moment, actions &Actions);
void releaseUnconfirmedWork(gateway_node &Node, instant Now);

// peers.cpp
void requestWitnessRecord(work_item &Item, moment Moment, actions &Actions);
void handlePeerMessage(gateway_node &Node, const peer_message_arrived &Event,
                       moment Moment, actions &Actions);
void handlePeersChanged(gateway_node &Node, const peers_changed &Event,
                        actions &Actions);
/// Gives up the requests that wait for a witness that is unreachable.
void handleWitnessUnreachable(gateway_node &Node, const std::string &Witness,
                              actions &Actions);
/// Takes \p Target out of use. \p NotifyPeers: also notify the other nodes of
/// the site.
void markTargetDraining(gateway_node &Node, const std::string &Target,
                        bool NotifyPeers, actions &Actions);
void handleTick(gateway_node &Node, moment Moment, actions &Actions);

} // namespace amaranthhoist::gateway
