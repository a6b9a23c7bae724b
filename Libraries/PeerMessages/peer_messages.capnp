@0xb8a1f0c2d94e6a37;
# Datagrams between the nodes of a fleet, and the state of the store that they
# serve to each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranthhoist::datagram");

struct Belief {
  name @0 :Text;
  status @1 :UInt8;
  counter @2 :UInt64;
}

# Status of the member whose name has this hash.
struct HashedBelief {
  nameHash @0 :UInt64;
  counter @1 :UInt32;
  status @2 :UInt8;
}

struct CrashReport {
  content @0 :UInt64;
  generation @1 :UInt32;
  servers @2 :List(UInt64);
  ageUs @3 :Int64;
  isForAll @4 :Bool;
}

struct QuotaRequest {
  account @0 :UInt64;
  sequence @1 :UInt64;
  spent @2 :UInt64;
  kept @3 :UInt32;
  wanted @4 :UInt32;
  immediate @5 :UInt32;
}

struct QuotaResponse {
  account @0 :UInt64;
  sequence @1 :UInt64;
  granted @2 :UInt32;
  retryAfterUs @3 :UInt32;
  isUnavailable @4 :Bool;
}

struct Datagram {
  sender @0 :Text;
  kind @1 :UInt8;
  subject @2 :Text;
  onBehalfOf @3 :Text;
  beliefs @4 :List(Belief);
  control @5 :Text;
  crashes @6 :List(CrashReport);
  # Number of the sender's process in quota requests, and of the receiver's in
  # responses.
  quotaHolder @7 :UInt64;
  quotaRequests @8 :List(QuotaRequest);
  quotaResponses @9 :List(QuotaResponse);
  # Version of the configuration in force at the sender; 0: none, or an earlier
  # build.
  configurationVersion @10 :Int64;
  # Instances of earlier builds ignore them.
  hashedBeliefs @11 :List(HashedBelief);
  # The sender asks for the statuses of all members that are not up, or the
  # beliefs are such statuses. Instances of earlier builds do neither.
  requestsStatuses @12 :Bool;
  hasStatuses @13 :Bool;
}

struct ObjectChange {
  name @0 :Text;
  isDeleted @1 :Bool;
  text @2 :Text;
  revision @3 :UInt64;
}

struct KindChanges {
  kind @0 :UInt8;
  atRevision @1 :UInt64;
  isFull @2 :Bool;
  changes @3 :List(ObjectChange);
  # Era of the store; 0: not known. Instances of earlier builds state none.
  era @4 :UInt64;
}

struct KindList {
  kinds @0 :List(KindChanges);
}

struct CacheChanges {
  ageUs @0 :Int64;
  listIsSure @1 :Bool;
  # A KindList, encoded separately so that one copy serves many requesters.
  kinds @2 :Data;
  # Size of the KindList in bytes before compression; 0: not compressed.
  plainBytes @3 :UInt32;
  # Other instances to query instead.
  sources @4 :List(Text);
  # Time since the store responded, before any outage that goes on; -1: not
  # known. Instances of earlier builds state none.
  contactAgeUs @5 :Int64 = -1;
}
