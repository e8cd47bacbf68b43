# Datagrams between the hosts of a fleet. The version stands in Report.version.
@0xb5d0a1c4e7f23986;

struct Report {
  version @0 :UInt16;
  from @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  dataCentre @4 :Text;
  address @5 :Text;
  own @6 :Section;
  totals @7 :List(Totals);
  hearsOthers @8 :Bool;
}

struct Totals {
  scope :union {
    group @0 :UInt32;
    dataCentre @1 :Text;
    host @2 :Text;
  }
  section @3 :Section;
}

struct Section {
  source @0 :UInt64;
  sequence @1 :UInt64;
  ageMs @2 :UInt32;
  hosts @3 :UInt32;
  instances @4 :List(Instance);
  customers @5 :List(Customer);
  reporter @6 :Text;
  complete @7 :Bool;
}

struct Instance {
  id @0 :UInt32;
  inFlight @1 :UInt32;
  attempts @2 :Float32;
  failures @3 :Float32;
}

struct Customer {
  id @0 :UInt32;
  demandPerSecond @1 :Float32;
  admitted @2 :UInt64;
}
