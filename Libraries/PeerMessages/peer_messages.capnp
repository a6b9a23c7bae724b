@0xb8a1f0c2d94e6a37;
# Datagrams between the nodes of a fleet.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranthhoist::datagram");

struct Belief {
  name @0 :Text;
  status @1 :UInt8;
  counter @2 :UInt64;
}

struct Datagram {
  sender @0 :Text;
  kind @1 :UInt8;
  subject @2 :Text;
  onBehalfOf @3 :Text;
  beliefs @4 :List(Belief);
  control @5 :Text;
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
}

struct CacheChanges {
  ageUs @0 :Int64;
  kinds @1 :List(KindChanges);
  listIsSure @2 :Bool;
}
