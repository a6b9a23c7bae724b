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
}
