@0xd5f1c3a86b7e9024;

# Messages between entries; each is the body of an HTTP request or response.

# A versioned key-value pair; of two with the same key the larger version wins.
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

# Sends items that changed at the sender; one without items is a probe. The
# response is an Exchange with the receiver's own member item. The digest in
# either message is that of the whole item table of the entry that sent it.
struct Exchange {
  digest @0 :UInt64;
  items @1 :List(Item);
}

# Versions of all items in the sender's table. The response is a Difference.
struct Comparison {
  versions @0 :List(KeyVersion);
}

# Items that are newer at the receiver of a Comparison or missing at its sender,
# and the keys of those for which the reverse holds.
struct Difference {
  items @0 :List(Item);
  wanted @1 :List(Text);
}

# Asks the receiver to probe a third entry. The response is a ProbeResult.
struct Probe {
  address @0 :Text;
}

struct ProbeResult {
  isAlive @0 :Bool;
}

# Calls the receiver's question handler for a service. The response is an
# Answer.
struct Question {
  service @0 :Text;
  body @1 :Data;
}

# If the receiver has no answer, isAnswered is false and the body is empty.
struct Answer {
  isAnswered @0 :Bool;
  body @1 :Data;
}
