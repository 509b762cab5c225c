@0xc5a1f0e2b7d94613;
# The protocol between instances. Fields are only ever added; `protocolVersion` in Hello tells which are used.

struct Life {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Hello {
  protocolVersion @0 :UInt16;
  life @1 :Life;
  region @2 :Text;
  zone @3 :Text;
}

# Two words, since a message holds many.
struct Heartbeat {
  idHash @0 :UInt32;
  life @1 :UInt32;
  heartbeat @2 :UInt32;
  # How long ago its origin made it, at most, in hundredths of a second; the largest value for longer.
  ageCs @3 :UInt16;
  # Bit 0: leaving. Bit 1: a change is pending. Bits 2 to 15: the lowest bits of its revision.
  flags @4 :UInt16;
}

struct BackendLoad {
  id @0 :Text;
  inFlight @1 :UInt32;
  ageMs @2 :UInt32;
  accepting @3 :Bool;
}

struct Strike {
  fingerprint @0 :UInt64;
  backend @1 :Text;
  ageMs @2 :UInt32;
}

struct Succession {
  left @0 :Life;
  successor @1 :Life;
}

struct Split {
  service @0 :Text;
  # One number for each region of the service in order of name.
  perMillion @1 :List(UInt32);
}

struct Exchange {
  sender @0 :Life;
  heartbeats @1 :List(Heartbeat);
  revision @2 :UInt64;
  # Age of the newest confirmation of the store's state; the largest value for never.
  storeAgeMs @3 :UInt32;
  # Hash over the versions of all share records that the sender holds.
  sharesDigest @4 :UInt64;
  loadPerMille @5 :UInt32;
  loads @6 :List(BackendLoad);
  strikes @7 :List(Strike);
  successions @8 :List(Succession);
  splits @9 :List(Split);
}

struct Blob {
  name @0 :Text;
  text @1 :Text;
}

struct Configuration {
  # The head as JSON, and the blobs that were asked for.
  head @0 :Text;
  headVersion @1 :UInt64;
  blobs @2 :List(Blob);
}

struct ShareBucket {
  bucket @0 :UInt32;
  version @1 :UInt64;
  # The records as JSON.
  records @2 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct RelayedRequest {
  organisation @0 :Text;
  method @1 :Text;
  target @2 :Text;
  host @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  idempotencyKey @6 :Text;
  remainingMs @7 :UInt32;
  traceparent @8 :Text;
  requestId @9 :Text;
  owner @10 :Life;
}

struct Refusal {
  kind @0 :Text;
  detail @1 :Text;
}

struct RelayedAnswer {
  union {
    refusal @0 :Refusal;
    answer @1 :WholeAnswer;
  }
}

struct WholeAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct OnceRecord {
  key @0 :Data;
  fingerprint @1 :UInt64;
  ageMs @2 :UInt32;
  union {
    unknown @3 :Void;
    finished @4 :WholeAnswer;
  }
}

struct Loan {
  granted @0 :UInt32;
  left @1 :UInt32;
  refused @2 :Bool;
}

# An amount of something that both ends know by the hash of its name.
struct Tally {
  hash @0 :UInt64;
  amount @1 :Float32;
}

# A key of the store as it was written last, or its deletion.
struct StoreRecord {
  key @0 :Text;
  value @1 :Data;
  deleted @2 :Bool;
  revision @3 :UInt64;
  # The value is compressed (zlib).
  packed @4 :Bool;
}

# One run of a backend server's process, which said that it is leaving.
struct LeavingRun {
  # Hash of its id and its start.
  run @0 :UInt64;
  # How long ago the first instance learned it.
  ageMs @1 :UInt32;
}

# One run of a backend server's process, which a status check found alive after its entry had come back.
struct ConfirmedRun {
  # Hash of its id and its start.
  run @0 :UInt64;
  # The store's revision of the entry that was checked.
  revision @1 :UInt64;
  # How long ago the check was made.
  ageMs @2 :UInt32;
}

# How requests for a service are divided over regions.
struct ServiceSplit {
  # Hash of the service's name.
  service @0 :UInt64;
  # Weights of the regions by the hashes of their names.
  regions @1 :List(Tally);
}

# What a backend server last stated of how long work takes there.
struct StatedPace {
  # Hash of its id.
  backend @0 :UInt64;
  # 100 means as usual.
  percent @1 :UInt32;
  ageMs @2 :UInt32;
}

# What an instance, or a hub for those that report to it, tells of its traffic; and a hub's answer.
struct Traffic {
  sender @0 :Text;
  # Instances that it speaks for; 0 in an answer to one of them.
  instances @1 :UInt32;
  # Requests a second of each organisation.
  demands @2 :List(Tally);
  # Requests at work at each backend server; in an answer, those of all others.
  atWork @3 :List(Tally);
  # The sender is a hub and speaks to another one.
  fromHub @4 :Bool;
  # The store's revision up to which the sender knows all.
  revision @5 :UInt64;
  # In an answer: what the store changed after the asker's revision.
  changes @6 :List(StoreRecord);
  # In an answer: the changes are all there were.
  complete @7 :Bool;
  # In an answer: how long ago the store confirmed the revision; the largest value for never.
  storeAgeMs @8 :UInt32 = 0xffffffff;
  # Crashes of backend servers that are held against requests.
  strikes @9 :List(Strike);
  # Backend servers that said lately that they are leaving.
  leaving @10 :List(LeavingRun);
  # Service times at backend servers that are slow, relative to the usual ones; in an answer, by all others.
  slowness @11 :List(Tally);
  # In an answer: `StoreRecords` as a compressed message (zlib), instead of `changes`.
  packedChanges @12 :Data;
  # In an answer: the changes are all keys that the store has, and no other key is left.
  snapshot @13 :Bool;
  # Sum of the weights of the instances that it speaks for.
  weight @14 :UInt32;
  # The sender understands `packedChanges` and `snapshot` in the answer.
  acceptsPacked @15 :Bool;
  # Busy slots that requests for each service ask for: requests a second times their usual service time.
  serviceDemands @16 :List(Tally);
  # In an answer: how the requests of the asker's region are divided over regions.
  splits @17 :List(ServiceSplit);
  # Backend servers that stated lately that work takes longer or shorter than usual.
  paces @18 :List(StatedPace);
  # Requests a second that were refused for want of room, by service.
  refusals @19 :List(Tally);
  # The era of the store that `revision` belongs to, plus one; 0 in messages of earlier versions.
  storeEra @20 :UInt64;
  # Backend servers that a status check lately found alive.
  confirmed @21 :List(ConfirmedRun);
}

struct StoreRecords {
  records @0 :List(StoreRecord);
}

interface Peer {
  hello @0 (hello :Hello) -> (hello :Hello);
  exchange @1 (exchange :Exchange) -> (exchange :Exchange);
  # Blobs that the caller lacks are named; with none named only the head is sent.
  configuration @2 (blobs :List(Text)) -> (configuration :Configuration);
  # A newer head exists.
  headChanged @3 (revision :UInt64, sender :Text) -> ();
  # A change is about to be written. The answer is a promise to treat contact as lost until it is settled.
  announceChange @4 (change :Text) -> (promised :Bool);
  shares @5 () -> (buckets :List(ShareBucket));
  # The versions of share records that the holder acts on, for one bucket as JSON.
  actingShares @6 (bucket :UInt32) -> (versions :Text);
  lend @7 (organisation :Text, wanted :UInt32) -> (loan :Loan);
  relay @8 (request :RelayedRequest) -> (answer :RelayedAnswer);
  handOver @9 (left :List(Life), records :List(OnceRecord)) -> (taken :Bool);
  # An announced change was certainly not written: the promise is void.
  withdrawChange @10 (change :Text) -> ();
  # Traffic of the sender; the answer is that of the others.
  report @11 (traffic :Traffic) -> (traffic :Traffic);
  # Asks a hub for leave to pass on requests of an organisation.
  takeLeave @12 (sender :Text, organisation :UInt64, wanted :UInt32) -> (granted :UInt32, waitMs :UInt32);
}
