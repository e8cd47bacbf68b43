# Messages between the hosts of a fleet. The version stands in Batch.version.
@0xc7b1f6f0a5d93e12;

interface Peer {
  # Delivers one signed batch: the bytes of a Batch and their HMAC-SHA-256.
  deliver @0 (batch :Data, signature :Data);
}

struct Batch {
  version @0 :UInt16;
  from @1 :UInt32;
  incarnation @2 :UInt64;
  to @3 :UInt32;
  sequence @4 :UInt64;
  revision @5 :UInt64;
  messages @6 :List(Message);
  replyTo @7 :Text;
}

struct Message {
  union {
    sync @0 :Sync;
    syncReply @1 :SyncReply;
    news @2 :News;
    leaseRequest @3 :LeaseRequest;
    leaseVote @4 :LeaseVote;
    leaseRelease @5 :LeaseRequest;
    notHolder @6 :NotHolder;
    draw @7 :Draw;
    grant @8 :Grant;
    evidence @9 :EvidenceReport;
    verdicts @10 :Verdicts;
    claim @11 :Claim;
    claimVote @12 :ClaimVote;
    claimRelease @13 :ClaimRef;
    claimAnswer @14 :ClaimAnswer;
    claimSync @15 :UInt32;
    claimSyncReply @16 :ClaimSyncReply;
  }
}

struct Sync { sentAtUs @0 :UInt64; revision @1 :UInt64; }

struct SyncReply {
  sentAtUs @0 :UInt64;
  revision @1 :UInt64;
  ageMs @2 :UInt32 = 4294967295;  # the largest value stands for "unknown"
  settled @3 :Bool;
  withdrawn @4 :List(Data);
  changesJson @5 :Data;  # empty when there are none
  addresses @6 :List(PeerAddress);
}

struct PeerAddress { host @0 :UInt32; incarnation @1 :UInt64; address @2 :Text; }

struct News { withdrawn @0 :List(Data); changesJson @1 :Data; }

struct LeaseRequest { shard @0 :UInt32; lease @1 :UInt64; sentAtUs @2 :UInt64; }

struct LeaseVote { shard @0 :UInt32; lease @1 :UInt64; sentAtUs @2 :UInt64; granted @3 :Bool; }

struct NotHolder { shard @0 :UInt32; holder @1 :UInt32; holderKnown @2 :Bool; }

struct Draw {
  customer @0 :Text;
  sequence @1 :UInt64;
  lastGrant @2 :UInt64;
  held @3 :UInt32;
  returned @4 :UInt32;
  needed @5 :UInt32;
  ahead @6 :UInt32;
  sentAtUs @7 :UInt64;
}

struct Grant {
  customer @0 :Text;
  sequence @1 :UInt64;
  sentAtUs @2 :UInt64;
  tokens @3 :UInt32;
  retryAfterMs @4 :UInt32;
  confirm @5 :Bool;
}

struct InstanceEvidence {
  instance @0 :Text;
  good @1 :UInt32;
  failed @2 :UInt32;
  fast @3 :UInt32;
  slow @4 :UInt32;
  probesGood @5 :UInt32;
  probesFailed @6 :UInt32;
}

struct Verdict {
  instance @0 :Text;
  dataCentre @1 :Text;  # empty for the whole fleet
  returning @2 :Bool;
  percent @3 :UInt8;
  probe @4 :Bool;
}

struct EvidenceReport {
  service @0 :Text;
  sentAtUs @1 :UInt64;
  instances @2 :List(InstanceEvidence);
  applied @3 :List(Verdict);
}

struct Verdicts { service @0 :Text; sentAtUs @1 :UInt64; verdicts @2 :List(Verdict); }

struct ClaimKey { customer @0 :Text; key @1 :Data; }

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  hasContentType @2 :Bool;
  body @3 :Data;
  hasBody @4 :Bool;
}

struct ClaimRecord {
  owner @0 :UInt32;
  incarnation @1 :UInt64;
  request @2 :UInt64;
  digest @3 :Data;
  answered @4 :Bool;
  answer @5 :Answer;
}

struct Claim { key @0 :ClaimKey; record @1 :ClaimRecord; }

struct ClaimVote {
  key @0 :ClaimKey;
  request @1 :UInt64;
  verdict :union {
    recorded @2 :Bool;  # whether the table has to agree
    exists @3 :ClaimRecord;
    incomplete @4 :Void;
  }
}

struct ClaimRef { key @0 :ClaimKey; request @1 :UInt64; }

struct ClaimAnswer { key @0 :ClaimKey; request @1 :UInt64; answer @2 :Answer; }

struct ClaimSyncReply { shard @0 :UInt32; complete @1 :Bool; claims @2 :List(Claim); }
