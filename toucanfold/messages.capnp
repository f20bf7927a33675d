@0xb4c1d0a95f7e2a31;
# Frames between the processes of one fleet. Numbers of fields are never reused.

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    ping @2 :Ping;
    pong @3 :Pong;
    goaway @4 :Goaway;
    call @5 :Call;
    answer @6 :Answer;
    body @7 :Body;
    credit @8 :Credit;
    cancel @9 :Cancel;
    intent @10 :Intent;
    intentAck @11 :IntentAck;
    record @12 :Record;
    recordSync @13 :RecordSync;
    watchPing @14 :WatchPing;
    watchPong @15 :WatchPong;
    raft @16 :Raft;
    relay @17 :Relay;
    relayReply @18 :RelayReply;
    tokenRequest @19 :TokenRequest;
    tokenReply @20 :TokenReply;
    crashReport @21 :CrashReport;
  }
}

struct Hello {
  fleet @0 :Text;
  role @1 :Text;
  name @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
  region @5 :Text;
  dataCentre @6 :Text;
}

struct Proof { digest @0 :Data; }
struct Ping { sequence @0 :UInt64; }
struct Pong { sequence @0 :UInt64; }
struct Goaway { reason @0 :Text; }

struct Call {
  id @0 :UInt64;
  rootId @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :Data;
  body @6 :Data;
  bodyMore @7 :Bool;
  account @8 :Text;
  weight @9 :Float64;
  rank @10 :UInt8;
  depth @11 :UInt8;
  priority @12 :UInt8;
  rootAgeMs @13 :UInt32;
  timeoutMs @14 :UInt32;
  attemptsLeft @15 :UInt8;
  idempotent @16 :Bool;
  idempotencyKey @17 :Text;
  route @18 :Text;
  slot @19 :Int32;
  slotEpoch @20 :UInt64;
  crashes @21 :List(Text);
}

struct Answer {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :Data;
  body @3 :Data;
  bodyMore @4 :Bool;
  outcome @5 :UInt8;
  kind @6 :Text;
  retryAfterMs @7 :UInt32;
  message @8 :Text;
  attemptsSpent @9 :UInt8;
  retried @10 :Bool;
  level @11 :UInt16;
  limit @12 :UInt32;
  inFlight @13 :UInt32;
  targetUs @14 :UInt64;
  undispatched @15 :Bool;
  departing @16 :Text;
  routeReduction @17 :UInt16;
  crash @18 :Text;
}

struct Body {
  id @0 :UInt64;
  fromCaller @1 :Bool;
  data @2 :Data;
  last @3 :Bool;
  aborted @4 :Bool;
}

struct Credit {
  id @0 :UInt64;
  fromCaller @1 :Bool;
  size @2 :UInt32;
}

struct Cancel { id @0 :UInt64; }

struct Intent {
  id @0 :UInt64;
  service @1 :Text;
  slot @2 :UInt16;
  epoch @3 :UInt64;
  account @4 :Text;
  key @5 :Text;
  digest @6 :Data;
}

struct IntentAck {
  id @0 :UInt64;
  accepted @1 :Bool;
  epoch @2 :UInt64;
}

struct Record {
  service @0 :Text;
  slot @1 :UInt16;
  epoch @2 :UInt64;
  account @3 :Text;
  key @4 :Text;
  digest @5 :Data;
  state @6 :UInt8;
  status @7 :UInt16;
  headers @8 :Data;
  body @9 :Data;
  ageMs @10 :UInt64;
  origin @11 :UInt64;
  id @12 :UInt64;
}

struct RecordSync {
  service @0 :Text;
  slot @1 :UInt16;
  epoch @2 :UInt64;
  records @3 :List(Record);
  last @4 :Bool;
  id @5 :UInt64;
  index @6 :UInt32;
}

struct Demand {
  account @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
  tokens @3 :Float64;
}

struct Share {
  account @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
  tokens @3 :Float64;
  grant @4 :UInt64;
}

struct TokenRequest {
  id @0 :UInt64;
  account @1 :Text;
  remainingMs @2 :UInt32;
}

struct TokenReply {
  id @0 :UInt64;
  taken @1 :Bool;
  retryAfterMs @2 :UInt32;
  share @3 :Text;
}

struct CrashReport {
  crash @0 :Text;
  suspects @1 :List(Data);
  completed @2 :List(Data);
  relayed @3 :Bool;
}

struct Announcement {
  name @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  region @3 :Text;
  dataCentre @4 :Text;
  linkAddress @5 :Text;
  state @6 :Text;
  targetInstance @7 :Text;
  departed @8 :Text;
  configuredService @9 :Text;
}

struct SlotMark {
  slot @0 :UInt16;
  epoch @1 :UInt64;
}

struct WatchPing {
  sequence @0 :UInt64;
  appliedRevision @1 :UInt64;
  announcement @2 :Announcement;
  demands @3 :List(Demand);
  shares @4 :List(Share);
  raftTerm @5 :UInt64;
  complete @6 :List(SlotMark);
  quarantined @7 :List(Data);
  acceptsPackedDeltas @8 :Bool;
}

struct WatchPong {
  sequence @0 :UInt64;
  confirmed @1 :Bool;
  revision @2 :UInt64;
  deltas @3 :List(Data);
  snapshot @4 :Data;
  shares @5 :List(Share);
  raftTerm @6 :UInt64;
  instances @7 :List(Instance);
  packedDeltas @8 :Data;
}

struct Instance {
  address @0 :Text;
  region @1 :Text;
  dataCentre @2 :Text;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct Raft {
  kind @0 :UInt8;
  sender @1 :Text;
  receiver @2 :Text;
  term @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  commit @6 :UInt64;
  entries @7 :List(Entry);
  granted @8 :Bool;
  matchIndex @9 :UInt64;
  readSequence @10 :UInt64;
  snapshot @11 :Data;
  snapshotOffset @12 :UInt64;
  snapshotDone @13 :Bool;
  address @14 :Text;
}

struct Relay {
  id @0 :UInt64;
  kind @1 :Text;
  payload @2 :Data;
}

struct RelayReply {
  id @0 :UInt64;
  ok @1 :Bool;
  payload @2 :Data;
}
