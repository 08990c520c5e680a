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

# The changes of a collection since the last update, sent to an entry that
# follows the sender instead of the store. An older reader skips fields that it
# does not know; a newer one takes a missing field for zero, false or empty.
struct Update {
  # Identifies the sender's process. Numbers of different processes cannot be
  # compared.
  epoch @0 :UInt64;
  # Number of the last change that is included.
  sequence @1 :UInt64;
  # Number of changes and confirmations so far.
  tick @2 :UInt64;
  # Revision of the store up to which the sender has received changes.
  revision @3 :UInt64;
  # When the store last confirmed the copy, relative to the arrival of the
  # request.
  confirmedOffsetMs @4 :Int64;
  # Whether the sender's copy is current and its store answers.
  isCurrent @5 :Bool;
  # Whether the content replaces what the receiver has.
  isWhole @6 :Bool;
  # A Content, packed and compressed with zlib; empty without changes.
  content @7 :Data;
}

struct Content {
  objects @0 :List(Object);
  # Names of removed objects.
  removed @1 :List(Text);
}
