@0xd3a90c4f7be21865;

# What an entry knows of a collection of the store, told to another entry.

struct Object {
  name @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
}

struct Collection {
  # Digest of names and versions.
  mark @0 :UInt64;
  revision @1 :UInt64;
  # Age of this knowledge at the sender.
  ageMs @2 :UInt32;
  # Empty if the receiver has the same mark.
  objects @3 :List(Object);
}
