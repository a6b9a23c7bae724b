/// Shared between the files of the gateway library; not public.
#pragma once

#include "Gateway/gateway.h"

namespace amaranthhoist::gateway {

using actions = std::vector<gateway_action>;

// arrival.cpp
void arrive(gateway_node &Node, const request_arrived &Event, moment Moment,
            actions &Actions);
void cancel(gateway_node &Node, std::uint64_t Token, actions &Actions);
void seal(gateway_node &Node, const seal_asked &Event, moment Moment,
          actions &Actions);

// dispatch.cpp
duration predictedWait(const gateway_node &Node, const std::string &Service);
/// Sends what can be sent of \p Service, and asks for loans for the rest.
void pump(gateway_node &Node, const std::string &Service, moment Moment,
          actions &Actions);
void pumpAll(gateway_node &Node, moment Moment, actions &Actions);

// prospects.cpp
/// Whether no backend server of \p Service is left that takes work or is known
/// to do so again: each is leaving or down.
bool hasNoServer(const gateway_node &Node, const std::string &Service);
/// Whether requests of \p Service have waited in vain for units, with nothing
/// in progress here whose end would free any.
bool isStalled(const gateway_node &Node, const std::string &Service,
               instant Now);
/// Refuses what waits for \p Service and can't be served.
void refuseHopeless(gateway_node &Node, const std::string &Service, instant Now,
                    actions &Actions);

// completion.cpp
/// Ends one request without a target's answer.
void giveUp(gateway_node &Node, std::uint64_t Token, const std::string &Reason,
            actions &Actions);
void targetEnded(gateway_node &Node, const target_ended &Event, moment Moment,
                 actions &Actions);
void releaseLingering(gateway_node &Node, instant Now);

// peers.cpp
void askWitness(work_item &Item, moment Moment, actions &Actions);
void peerMessage(gateway_node &Node, const peer_message_arrived &Event,
                 moment Moment, actions &Actions);
void peersChanged(gateway_node &Node, const peers_changed &Event,
                  actions &Actions);
/// Gives up what waits for a witness that can't be reached.
void witnessLost(gateway_node &Node, const std::string &Witness,
                 actions &Actions);
/// Takes \p Target out of use. \p Tell passes it on to the site's other nodes.
void targetLeaves(gateway_node &Node, const std::string &Target, bool Tell,
                  actions &Actions);
void tick(gateway_node &Node, moment Moment, actions &Actions);

} // namespace amaranthhoist::gateway
