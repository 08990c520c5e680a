@0xb1c6a4d0e35f7182;

# What one entry tells the others a few times a second, as one datagram.

struct Load {
  upstream @0 :UInt64;
  requests @1 :UInt16;
  entered @2 :UInt16;
  context @3 :UInt32;
  reading @4 :UInt32;
}

struct Suspect {
  upstream @0 :UInt64;
  # Milliseconds for which the sender avoids it from now on.
  forMs @1 :UInt32;
}

struct Crash {
  fingerprint @0 :UInt64;
  count @1 :UInt16;
}

struct LoadReport {
  sender @0 :Text;
  # Start of the sender, in milliseconds since the Unix epoch.
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  isStopping @3 :Bool;
  # Age of what the sender knows of the list of upstreams.
  listAgeMs @4 :UInt32;
  loads @5 :List(Load);
  suspects @6 :List(Suspect);
  # Addresses of live entries, so that all learn of each other.
  entries @7 :List(Text);
  # Age of the sender's configuration.
  configurationAgeMs @8 :UInt32;
  # Requests whose upstreams crashed while the sender had them.
  crashes @9 :List(Crash);
}
