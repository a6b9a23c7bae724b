/// Converts between the structs of the decision logic and Cap'n Proto messages.
#pragma once

#include "Gateway/gateway.h"
#include "Membership/membership.h"
#include "Protocol/protocol.capnp.h"
#include "Replica/replica.h"

#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// An offer and its service.
struct service_offer {
  std::string Service;
  offer Offer;
};

wire::Outcome toWire(outcome Value);
outcome fromWire(wire::Outcome Value);

std::string toString(capnp::Text::Reader Text);

void writeOffers(std::span<const service_offer> Offers,
                 capnp::List<wire::Offer>::Builder Builder);
std::vector<service_offer> readOffers(capnp::List<wire::Offer>::Reader Reader,
                                      instant Now);

void writePeerMessage(const peer_message &Message,
                      wire::PeerMessage::Builder Builder);
peer_message readPeerMessage(wire::PeerMessage::Reader Reader);

void writeItems(std::span<const item> Items,
                capnp::List<wire::Item>::Builder Builder);
std::vector<item> readItems(capnp::List<wire::Item>::Reader Reader);

void writeReplicaMessage(const replica_message &Message,
                         wire::ReplicaMessage::Builder Builder);
replica_message readReplicaMessage(wire::ReplicaMessage::Reader Reader);

void writeMembershipMessage(const membership_message &Message,
                            wire::MembershipMessage::Builder Builder);
membership_message
readMembershipMessage(wire::MembershipMessage::Reader Reader);

} // namespace amaranthhoist
