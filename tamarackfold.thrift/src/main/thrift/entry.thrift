// Messages between entry hosts.
namespace java org.tamarackfold.peer.thrift.generated

// The release of the sender, and its reply with that of the receiver.
struct ReleaseExchangeStruct {
  // Absent when the sender has no release.
  1: optional i64 version
  // Milliseconds since the release was last confirmed as the newest.
  2: optional i64 confirmedAgeMillis
  // The release as the operator wrote it; present when the receiver has an older one.
  3: optional binary release
}

struct PermitDemandStruct {
  1: required string customer
  // Calls that wait: those that begin a program, and all others.
  2: required i32 firstTurns
  3: required i32 otherCalls
  // The limit that the sender knows.
  4: required double callsPerSecond
  5: required double burst
  // Calls expected soon, for which a permit may be kept.
  6: optional i32 expectedCalls
}

struct PermitRequestStruct {
  1: required string host
  2: required list<PermitDemandStruct> demands
}

struct PermitGrantStruct {
  1: required string customer
  2: required i32 firstTurns
  3: required i32 otherCalls
  // Milliseconds until the next permit is due for the calls that got none.
  4: required i64 retryAfterMillis
  // Whether the receiver grants as the owner; otherwise the sender may ask the next host for more.
  5: optional bool owner
  // Permits left after the grant, for the log.
  6: optional double remaining
}

struct PermitReplyStruct {
  1: required list<PermitGrantStruct> grants
  // Whether the receiver sees the sender among the registered active hosts.
  2: optional bool senderSeen
}

struct EndpointLoadStruct {
  1: required string endpoint
  // Expected remaining milliseconds of the calls in flight, at an endpoint of speed 1.
  2: required double remainingMillis
  3: required i32 inFlight
  // Mean and number of the speed samples since the last report; in totals, the speed that the
  // samples of all hosts show, and 0 samples when there are none.
  4: required double speed
  5: required i32 speedSamples
  // The start of the endpoint, in milliseconds since the Unix epoch; 0 when unknown.
  6: optional i64 startedAtMillis
}

// The endpoint at which the last turn of a program runs.
struct ProgramPlacementStruct {
  1: required string program
  2: required string endpoint
}

// The expected remaining milliseconds of the streams of a customer, at an endpoint of speed 1.
struct CustomerWorkStruct {
  1: required string customer
  2: required double remainingMillis
}

// A customer whose work exceeds its share of the service, and its work over its share.
struct OverShareStruct {
  1: required string customer
  2: required double ratio
}

struct LoadReportStruct {
  1: required string host
  2: required string serviceName
  3: required list<EndpointLoadStruct> endpoints
  // The programs that the host has begun or moved since a report that was answered.
  4: optional list<ProgramPlacementStruct> placements
  // The sequence number of the last placements that the host has received.
  5: optional i64 placementsSeen
  // The customers with the most work at the host; absent in reports of earlier versions.
  6: optional list<CustomerWorkStruct> customers
  // The remaining milliseconds of the streams of all other customers.
  7: optional double smallerCustomersMillis
}

struct LoadTotalsStruct {
  1: required list<EndpointLoadStruct> endpoints
  // The programs that other hosts have begun or moved, and the sequence number of the last one.
  2: optional list<ProgramPlacementStruct> placements
  3: optional i64 placementsSequence
  // The customers over their share; absent while the service is not short of capacity.
  4: optional list<OverShareStruct> overShare
  // The time in which the work in flight of the service would be done; with overShare.
  5: optional double drainMillis
}

// Asks for the changes of the key-value service after a revision.
struct ChangesRequestStruct {
  1: required i64 afterRevision
}

// A key was written when its value is present, and removed otherwise.
struct ChangeStruct {
  1: required string key
  2: required i64 revision
  3: optional binary value
}

struct ChangesReplyStruct {
  // Absent when the changes after the revision are not available.
  1: optional list<ChangeStruct> changes
  // The revision up to which the changes are complete; absent when they are not available.
  2: optional i64 asOf
  // Milliseconds since the service last confirmed the state of the sender; absent when it has none.
  3: optional i64 confirmationAgeMillis
  // Milliseconds since the service was last out of reach of the sender; absent when it never was.
  4: optional i64 outageAgeMillis
}

// An endpoint that ended while a request was under way there.
struct EndedRunStruct {
  1: required string endpoint
  2: required i64 startedAtMillis
  // How long the request had been there, and how long ago the endpoint ended.
  3: required i64 exposureMillis
  4: required i64 ageMillis
}

// What a host knows of a request at one software version.
struct SuspicionStruct {
  1: required binary request
  2: required string serviceName
  3: required string version
  4: required list<EndedRunStruct> runs
  // Milliseconds since the request was found to crash endpoints; absent when it was not.
  5: optional i64 quarantinedAgeMillis
  // Milliseconds since a whole response to it was seen; absent when none was.
  6: optional i64 clearedAgeMillis
}

// What the sender has learned, and its reply with what the receiver knows.
struct SuspicionExchangeStruct {
  1: required i64 digest
  2: required list<SuspicionStruct> suspicions
}

// Asks whether a copy of a suspected request may be sent, or tells that one has ended.
struct TrialRequestStruct {
  1: required string host
  2: required binary request
  3: required string serviceName
  // Milliseconds after which the trial counts as ended; absent when it has ended.
  4: optional i64 leaseMillis
  5: required list<SuspicionStruct> suspicions
}

// At most one of the delays is present; without one, the copy may be sent.
struct TrialReplyStruct {
  1: optional i64 askAgainMillis
  2: optional i64 deniedMillis
  3: required list<SuspicionStruct> suspicions
}

// A request that was found to crash endpoints, as the key-value service keeps it.
struct QuarantineRecordStruct {
  1: required SuspicionStruct suspicion
  // When it was written, in milliseconds since the Unix epoch; the ages are of that time.
  2: required i64 writtenAtMillis
}
