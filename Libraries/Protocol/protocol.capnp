@0xd3f1a8c27b5e9046;
# Messages between the processes of the system.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranthhoist::wire");

enum Outcome {
  answered @0;
  refused @1;
  notRun @2;
  unknown @3;
}

# The sending side of a byte stream. The receiver reads from it, which limits the
# bytes in flight to what the receiver can buffer.
interface ByteSource {
  read @0 (limit :UInt32) -> (data :Data, last :Bool, broken :Bool);
}

struct WorkRequest {
  requestId @0 :Text;
  # Id of the destination gateway node: instance, site and incarnation.
  node @1 :Text;
  customer @2 :Text;
  service @3 :Text;
  idempotent @4 :Bool;
  key @5 :Text;
  sourceRegion @6 :Text;
  priority @7 :Int32;
  weight @8 :Int32;
  # Time until the deadline when the request was sent, in microseconds.
  remainingUs @9 :Int64;
  method @10 :Text;
  path @11 :Text;
  contentType @12 :Text;
  # The complete body when it is short. Otherwise body is empty and source is set.
  body @13 :Data;
  source @14 :ByteSource;
}

struct Offer {
  service @0 :Text;
  site @1 :Text;
  region @2 :Text;
  node @3 :Text;
  freeUnits @4 :Int64;
  predictedWaitUs @5 :Int64;
  draining @6 :Bool;
  failureDomain @7 :Text;
}

struct Answer {
  outcome @0 :Outcome;
  reason @1 :Text;
  retryAfterUs @2 :Int64;
  status @3 :UInt16;
  contentType @4 :Text;
  # Length of the whole body in bytes, or -1 when it is not known yet.
  length @5 :Int64;
  body @6 :Data;
  # The rest of the response body. Null when body is complete.
  rest @7 :ByteSource;
  offers @8 :List(Offer);
  # The requested node does not run in this process.
  noSuchNode @9 :Bool;
}

struct LoanMessage {
  kind @0 :UInt8;
  loanId @1 :Text;
  resource @2 :Text;
  units @3 :Int64;
}

struct PeerMessage {
  union {
    loan @0 :LoanMessage;
    witnessRecord :group {
      key @1 :Text;
      expiresAtMs @2 :Int64;
    }
    witnessReply :group {
      replyKey @3 :Text;
      recorded @4 :Bool;
    }
    # Name of a target that reported that it is draining.
    leaving @5 :Text;
  }
}

interface Gateway {
  run @0 (request :WorkRequest) -> (answer :Answer);
  seal @1 (node :Text, key :Text) -> (answer :Answer);
  offers @2 () -> (offers :List(Offer));
  deliver @3 (from :Text, to :Text, message :PeerMessage) -> ();
  # Status for operators, as JSON.
  status @4 () -> (json :Text);
}

struct Item {
  key @0 :Text;
  version @1 :Int64;
  deleted @2 :Bool;
  value @3 :Text;
}

struct KeyVersion {
  key @0 :Text;
  version @1 :Int64;
}

struct ReplicaMessage {
  union {
    items @0 :List(Item);
    root @1 :UInt64;
    bucketHashes @2 :List(UInt64);
    keys :group {
      buckets @3 :List(UInt32);
      keys @4 :List(KeyVersion);
    }
    want @5 :List(Text);
  }
}

struct Belief {
  name @0 :Text;
  status @1 :UInt8;
  counter @2 :UInt64;
}

struct MembershipMessage {
  kind @0 :UInt8;
  subject @1 :Text;
  onBehalfOf @2 :Text;
  beliefs @3 :List(Belief);
}

enum UpdateResult {
  written @0;
  conflict @1;
  uncertain @2;
}

interface Control {
  # Long poll of a local daemon, identified by its kind: returns the items applied
  # after sequence and the members that are down. A restarted control has another
  # epoch and returns all items from the start.
  changes @0 (epoch :UInt64, sequence :UInt64, waitMs :UInt32, daemon :Text)
      -> (epoch :UInt64, sequence :UInt64, items :List(Item),
          down :List(Text));
  # Conditional update at the platform on behalf of a local daemon.
  update @1 (key :Text, value :Text, baseVersion :Int64, deleted :Bool)
      -> (result :UpdateResult, version :Int64);
  # Items of an operator's command that the platform has accepted.
  announce @2 (items :List(Item)) -> ();
  replicate @3 (from :Text, message :ReplicaMessage) -> ();
  probe @4 (from :Text, message :MembershipMessage) -> ();
  # Returns the version that this control has for each key, for
  # `contract apply --wait`.
  held @5 (keys :List(Text)) -> (items :List(KeyVersion));
  status @6 () -> (json :Text);
}
