@0xd3f1a8c27b5e9046;
# Messages between the system's own processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranthhoist::wire");

enum Outcome {
  answered @0;
  refused @1;
  notRun @2;
  unknown @3;
}

# One side of a stream of bytes. The receiver reads, so that no more is under
# way than it has room for.
interface ByteSource {
  read @0 (limit :UInt32) -> (data :Data, last :Bool, broken :Bool);
}

struct WorkRequest {
  requestId @0 :Text;
  # Gateway node that is meant: instance, site and incarnation.
  node @1 :Text;
  customer @2 :Text;
  service @3 :Text;
  idempotent @4 :Bool;
  key @5 :Text;
  sourceRegion @6 :Text;
  priority @7 :Int32;
  weight @8 :Int32;
  # Time left when this was sent.
  remainingUs @9 :Int64;
  method @10 :Text;
  path @11 :Text;
  contentType @12 :Text;
  # The body when it is short; else body is empty and source is set.
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
  # Length of the whole body, or -1 when it isn't known yet.
  length @5 :Int64;
  body @6 :Data;
  # What follows body; null when body is whole.
  rest @7 :ByteSource;
  offers @8 :List(Offer);
  # This process doesn't run the node that was meant.
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
    # A target that said that it is leaving.
    leaving @5 :Text;
  }
}

interface Gateway {
  run @0 (request :WorkRequest) -> (answer :Answer);
  seal @1 (node :Text, key :Text) -> (answer :Answer);
  offers @2 () -> (offers :List(Offer));
  deliver @3 (from :Text, to :Text, message :PeerMessage) -> ();
  # Operators' view, as JSON.
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
  # Long poll of a local daemon, named by its kind: items applied after sequence
  # and the members that are down. A control that has restarted has another
  # epoch and answers from the start.
  changes @0 (epoch :UInt64, sequence :UInt64, waitMs :UInt32, daemon :Text)
      -> (epoch :UInt64, sequence :UInt64, items :List(Item),
          down :List(Text));
  # Conditional update at the platform on behalf of a local daemon.
  update @1 (key :Text, value :Text, baseVersion :Int64, deleted :Bool)
      -> (result :UpdateResult, version :Int64);
  # Items that an operator's command got accepted by the platform.
  announce @2 (items :List(Item)) -> ();
  replicate @3 (from :Text, message :ReplicaMessage) -> ();
  probe @4 (from :Text, message :MembershipMessage) -> ();
  # The version of each key held, for `contract apply --wait`.
  held @5 (keys :List(Text)) -> (items :List(KeyVersion));
  status @6 () -> (json :Text);
}
