@0xb1c6a4d0e35f7182;

# What an entry tells others a few times a second, as one datagram: its own work,
# or the sum for a failure domain or for all entries. Numbers of one kind are
# columns, which cost less to read than a list of structures.

enum Scope {
  entry @0;
  domain @1;
  all @2;
  # Only contacts, in answer to a report that was sent to the wrong entry.
  contacts @3;
}

struct Contact {
  name @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  # Number of the last report of this entry that is part of the sum, 0 for none.
  sequence @3 :UInt32;
}

struct Informed {
  address @0 :Text;
  # Age of what this entry knows, in milliseconds.
  ageMs @1 :UInt32;
}

struct LoadReport {
  sender @0 :Text;
  domain @1 :Text;
  # Start of the sender, in milliseconds since the Unix epoch.
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  scope @4 :Scope;
  # Entries that the sums are over.
  entryCount @5 :UInt16;
  # First by name of the entries that can perform common duties.
  first @6 :Text;

  # Work in flight, a row for each upstream.
  upstreams @7 :List(UInt64);
  requests @8 :List(UInt16);
  entered @9 :List(UInt16);
  context @10 :List(UInt32);
  reading @11 :List(UInt32);

  # Upstreams that are avoided, and for how many milliseconds from now on.
  suspects @12 :List(UInt64);
  suspectMs @13 :List(UInt32);

  # Requests whose upstreams crashed, and how often.
  crashed @14 :List(UInt64);
  crashes @15 :List(UInt16);

  # Entries with the youngest list of upstreams and configuration.
  listInformed @16 :List(Informed);
  configurationInformed @17 :List(Informed);

  contacts @18 :List(Contact);
}
