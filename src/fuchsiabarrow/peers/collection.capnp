@0xd3a90c4f7be21865;

# An entry's copy of a collection of the object store, sent to another entry.

struct Object {
  name @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
}

struct Collection {
  # Digest of the names and versions of the objects.
  mark @0 :UInt64;
  # Largest version among the objects.
  revision @1 :UInt64;
  # Time since the sender last knew its copy to be current.
  ageMs @2 :UInt32;
  # Empty if the receiver sent the same mark in its request.
  objects @3 :List(Object);
}
