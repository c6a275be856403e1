namespace java org.tamarackfold.peer.thrift.generated

struct MemberStruct {
  1: required string host
  2: required string store
  3: required string address
  4: required string zone
}

struct ViewStruct {
  1: required i32 shard
  2: required i64 epoch
  3: required list<MemberStruct> members
}

struct LayoutStruct {
  1: required list<ViewStruct> views
}

struct EntryHostStruct {
  1: required string host
  2: required string address
  3: required string zone
  4: required string peerAddress
  // Thousandths of a processor core; absent in registrations of earlier versions.
  5: optional i32 processorMillis
  // Whether the host reaches any endpoint; absent in registrations of earlier versions, which do not say so.
  6: optional bool reachesEndpoints
}

struct TurnStruct {
  1: required string call
  2: required binary text
  3: required i64 keepUntilMillis
  // Absent in records of earlier versions and of deployments without customers.
  4: optional string customer
  // The turn that this one continues; absent in records of earlier versions and of first turns.
  5: optional string parent
}

// The software version at which an event stream began.
struct StreamOriginStruct {
  1: required string serviceName
  2: required string version
  3: required i32 attempt
}

struct ChargeStruct {
  1: required string program
  2: required string call
  3: required i64 tokens
  4: required bool settled
  5: required i64 keepUntilMillis
  // Absent in records of earlier versions and of calls that begin no resumable stream.
  6: optional StreamOriginStruct origin
}

struct EpochEndStruct {
  1: required i64 epoch
}

union RecordStruct {
  1: TurnStruct turn
  2: ChargeStruct charge
  3: EpochEndStruct epochEnd
}

struct LoggedRecordStruct {
  1: required i32 shard
  2: required RecordStruct record
}

struct ReserveStruct {
  1: required i32 shard
  2: required string program
  3: required string call
  4: required i64 tokens
  5: required i64 budgetTokens
  // At most one of the following is set.
  6: optional StreamOriginStruct begins
  7: optional string resumes
  // The turn that the call continues and its customer; absent in messages of earlier versions and without customers.
  8: optional string parent
  9: optional string customer
}

struct SettleStruct {
  1: required i32 shard
  2: required string program
  3: required string call
  4: required i64 tokens
}

struct LookUpStruct {
  1: required i32 shard
  2: required string call
  // Whose call continues the turn; absent in messages of earlier versions.
  3: optional string customer
  4: optional string program
}

struct StoreStruct {
  1: required i32 shard
  2: required string call
  3: required binary text
  4: required i64 retentionMillis
  // Absent in messages of earlier versions.
  5: optional string customer
  6: optional string parent
  // The tokens at which the turn is settled; absent when it is settled by a message of its own.
  7: optional string program
  8: optional i64 settledTokens
}

struct AppendStruct {
  1: required i32 shard
  2: required i64 epoch
  3: required string targetStore
  4: required list<RecordStruct> records
}

struct CopyStruct {
  1: required i32 shard
  2: required string targetStore
  3: required list<RecordStruct> records
}

struct CollectStruct {
  1: required i32 shard
  2: required i64 epoch
  3: required string targetStore
  4: required i32 batch
}

struct PingStruct {
  1: required string host
}

struct RelayStruct {
  1: required string address
  2: required binary request
}

union RequestStruct {
  1: ReserveStruct reserve
  2: SettleStruct settle
  3: LookUpStruct lookUp
  4: StoreStruct store
  5: AppendStruct append
  6: PingStruct ping
  7: RelayStruct relay
  8: CopyStruct copy
  9: CollectStruct collect
}

struct EmptyStruct {
}

struct CollectedStruct {
  1: required list<RecordStruct> records
  2: required i32 batches
}

struct DoneStruct {
  // Absent in replies of earlier versions, which record no origins.
  1: optional StreamOriginStruct origin
  // Whether a store has also settled the turn; absent in replies of earlier versions.
  2: optional bool settled
}

union ReplyStruct {
  1: DoneStruct done
  2: EmptyStruct exhausted
  3: binary found
  4: EmptyStruct absent
  5: EmptyStruct notPrimary
  6: i64 staleEpoch
  7: string unavailable
  8: string storeId
  9: CollectedStruct collected
  10: EmptyStruct outstanding
  // The receiver takes no new work; earlier versions read it as a reply of no known kind, and retry.
  11: string overloaded
  // The answer to a reservation that names a parent, which the shard lacks or the call may not continue.
  12: EmptyStruct noSuchTurn
}

struct HeaderStruct {
  1: required string name
  2: required string value
}

// A call that another entry host is asked to send to an endpoint.
struct ForwardStruct {
  1: required string call
  2: required string endpoint
  3: required string method
  4: required string pathAndQuery
  5: required list<HeaderStruct> headers
  6: required binary body
  7: required i64 remainingMillis
  8: required bool retryable
  // Identifies the request as its caller sent it; absent in messages of earlier versions.
  9: optional binary fingerprint
}

struct ResponseHeadStruct {
  1: required i32 status
  2: required list<HeaderStruct> headers
}

// What became of a forwarded call. The body of the response follows a head.
union ForwardReplyStruct {
  1: EmptyStruct accepted
  2: ResponseHeadStruct head
  3: EmptyStruct full
  4: EmptyStruct misdirected
  5: string notSent
  6: string unknown
  7: string refused
  8: EmptyStruct unreachable
}
