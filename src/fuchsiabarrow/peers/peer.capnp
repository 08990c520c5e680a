@0xd5f1c3a86b7e9024;

# Messages between entries; each is the body of an HTTP request or answer.

struct Item {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  expiresAtS @3 :Float64;
}

struct KeyVersion {
  key @0 :Text;
  version @1 :UInt64;
}

# Sends items that are new to the sender; answered by an Exchange with some of
# the receiver's. The digest is that of the writer's whole table.
struct Exchange {
  digest @0 :UInt64;
  items @1 :List(Item);
}

# Compares whole tables; answered by a Difference.
struct Comparison {
  versions @0 :List(KeyVersion);
}

# Items that the sender of a Comparison lacks, and keys that the receiver lacks.
struct Difference {
  items @0 :List(Item);
  wanted @1 :List(Text);
}

# Asks the receiver to probe a third entry; answered by a ProbeResult.
struct Probe {
  address @0 :Text;
}

struct ProbeResult {
  isAlive @0 :Bool;
}

# Asks the receiver's service of that name; answered by an Answer.
struct Question {
  service @0 :Text;
  body @1 :Data;
}

# The body is empty, and isAnswered false, if the receiver cannot tell.
struct Answer {
  isAnswered @0 :Bool;
  body @1 :Data;
}
