@0xb1c6a4d0e35f7182;

# A load report: one datagram, sent to other entries a few times a second. It
# holds the work in flight of the sender, or the aggregate over a failure domain
# or over all entries. Tables are stored as one list per column, which is
# cheaper to decode than a list of structures.

enum Scope {
  entry @0;
  domain @1;
  all @2;
  # Contacts only: redirects the sender of a report that went to the wrong
  # entry.
  contacts @3;
  # Evidence about parts of prompts only, sent as soon as it changes.
  evidence @4;
}

struct Contact {
  name @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  # Sequence number of this entry's last report in the aggregate, 0 for none.
  sequence @3 :UInt32;
}

# An entry that holds a recent copy of a collection.
struct Informed {
  address @0 :Text;
  # Time since the copy was last known to be current.
  ageMs @1 :UInt32;
}

# An entry that connects to upstreams for entries that cannot.
struct Helper {
  # Where it accepts tunnels, and the number that they must present.
  address @0 :Text;
  token @1 :UInt64;
  domain @2 :Text;
  # Time since it last connected to an upstream.
  ageMs @3 :UInt32;
  # Whether some of its own links may be cut.
  hasFault @4 :Bool;
}

struct LoadReport {
  sender @0 :Text;
  domain @1 :Text;
  # Start time of the sender's process, in milliseconds since the Unix epoch.
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  scope @4 :Scope;
  # Number of entries that the aggregate covers.
  entryCount @5 :UInt16;
  # First by name of the entries that are eligible as leader; empty if none is.
  first @6 :Text;

  # Work in flight. The five lists are parallel, with one element per upstream:
  # hash of the upstream's id and incarnation, requests that pass through it,
  # those of which it is the first upstream, reserved context (tokens times
  # layers), and prompt tokens times layers yet to be processed.
  upstreams @7 :List(UInt64);
  requests @8 :List(UInt16);
  entered @9 :List(UInt16);
  context @10 :List(UInt32);
  reading @11 :List(UInt32);

  # Upstreams that are avoided, and for how many more milliseconds.
  suspects @12 :List(UInt64);
  suspectMs @13 :List(UInt32);

  # Fingerprints of requests whose upstreams crashed, and how often the sender
  # saw that. Only for versions that do not know requestCrashes.
  crashed @14 :List(UInt64);
  crashes @15 :List(UInt16);

  # Entries with the most recent list of upstreams and configuration.
  listInformed @16 :List(Informed);
  configurationInformed @17 :List(Informed);

  contacts @18 :List(Contact);

  # Crashes of upstreams under parts of prompts: hashes of the part, of the
  # organisation that sent the request and of the upstream; time since the crash;
  # whether an entry has blocked the part because of it.
  partCrashParts @19 :List(UInt64);
  partCrashOrganisations @20 :List(UInt64);
  partCrashUpstreams @21 :List(UInt64);
  partCrashAgeMs @22 :List(UInt32);
  partCrashBlocking @23 :List(Bool);

  # Parts of prompts that others suspect, and the time since an answer last began
  # on them.
  begunParts @24 :List(UInt64);
  begunAgeMs @25 :List(UInt32);

  # Upstreams that announced a limit on their requests: their hashes, the limit
  # in thousandths of a request per second (the maximum for a limit that has
  # ended), and the time since they said so.
  limitUpstreams @26 :List(UInt64);
  limitMilli @27 :List(UInt32);
  limitAgeMs @28 :List(UInt32);

  helpers @29 :List(Helper);

  # Crashes of upstreams under requests, whichever entry saw them: fingerprint
  # of the request, id of the crash, time since the crash.
  requestCrashes @30 :List(UInt64);
  requestCrashIds @31 :List(UInt32);
  requestCrashAgeMs @32 :List(UInt32);

  # Requests that made progress after such crashes, and the time since then.
  progressRequests @33 :List(UInt64);
  progressAgeMs @34 :List(UInt32);

  # Use of services by organisation. Null if there is none.
  shares @35 :Shares;
}

# Context tokens by service and organisation, which other entries need to find
# the fair shares of organisations.
struct Shares {
  # Services: hash of the name, and the sums over the organisations without a
  # row: their least number, tokens that are reserved by running streams, and
  # tokens of requests that wait or were refused a short time ago.
  services @0 :List(UInt64);
  restCounts @1 :List(UInt32);
  restUsed @2 :List(UInt32);
  restWanted @3 :List(UInt32);

  # Rows: position of the service in the list above, hash of the organisation's
  # name, and its tokens as above.
  rowServices @4 :List(UInt8);
  organisations @5 :List(UInt64);
  used @6 :List(UInt32);
  wanted @7 :List(UInt32);
}
