// The messages between the processes of a mesh, in one union, whose set field is the type of the message.
// Only field ids and types are encoded on the wire: names may change, ids must not.
// Times are microseconds. An offset of -1 means "not set".

struct Record { 1: i64 offset, 2: i64 epoch, 3: i64 stamp, 4: binary payload }

struct FetchCall { 1: string mesh, 2: i64 replica, 3: string incarnation, 4: i64 epoch, 5: i64 fetch_offset, 6: i64 fetch_epoch, 7: i64 round, 8: bool complete, 9: i64 level, 10: bool leaving }
struct FetchAnswer { 1: string error, 2: i64 epoch, 3: i64 leader, 4: i64 high_watermark, 5: i64 begin_offset, 6: list<Record> records, 7: i64 diverging_offset, 8: i64 diverging_epoch, 9: i64 checkpoint_offset, 10: i64 checkpoint_epoch, 11: i64 next_offset, 12: i64 round, 13: i64 leave, 14: i64 contact_age }
struct FetchSnapshotCall { 1: i64 replica, 2: i64 epoch, 3: i64 checkpoint_offset, 4: i64 checkpoint_epoch, 5: i64 position, 6: i64 max_bytes }
struct FetchSnapshotAnswer { 1: string error, 2: i64 epoch, 3: i64 checkpoint_offset, 4: i64 checkpoint_epoch, 5: i64 position, 6: binary data, 7: bool continues }
struct VoteCall { 1: string mesh, 2: i64 epoch, 3: i64 replica, 4: string incarnation, 5: i64 last_offset, 6: i64 last_epoch, 7: bool pre_vote, 8: i64 level, 9: bool leadership_transfer }
struct VoteAnswer { 1: i64 epoch, 2: i64 replica, 3: string incarnation, 4: bool granted, 5: bool pre_vote, 6: i64 vote_epoch }
struct BeginEpochCall { 1: string mesh, 2: i64 epoch, 3: i64 leader }
struct EndEpochCall { 1: i64 epoch, 2: i64 leader, 3: i64 successor }
struct EpochAcknowledged { 1: i64 epoch }

struct BootstrapCall { 1: string mesh, 2: map<i64, string> voters, 3: map<string, string> operators, 4: i64 level }
struct BootstrapAnswer { 1: string error, 2: string mesh, 3: string incarnation }
struct FoundingStatusCall { 1: string caller }
struct FoundingStatusAnswer { 1: string mesh, 2: i64 replica, 3: string incarnation, 4: list<i64> seeds, 5: bool first_start, 6: string zone }
struct StatusCall { 1: string caller, 2: i64 after }
struct StatusAnswer { 1: string mesh, 2: i64 replica, 3: string incarnation, 4: i64 epoch, 5: i64 leader, 6: string role, 7: i64 last_offset, 8: i64 high_watermark, 9: i64 begin_offset, 10: binary counters, 11: binary events, 12: i64 level, 13: string halted, 14: i64 unsynced }

struct RaiseLevelCall { 1: i64 level }
struct RaiseLevelAnswer { 1: string error, 2: string message }

struct WriteCall { 1: string caller, 2: list<binary> payloads }
struct WriteAnswer { 1: string error, 2: i64 leader, 3: list<binary> outcomes, 4: i64 offset }
struct ReadCall { 1: string caller, 2: string part, 3: i64 known_revision }
struct ReadAnswer { 1: string error, 2: i64 leader, 3: i64 revision, 4: i64 offset, 5: binary content, 6: list<i64> digests, 7: i64 epoch }

struct AppliedVersion { 1: string node, 2: i64 revision, 3: i64 bundle, 4: string refusal, 5: string incarnation, 6: i64 refused_bundle }
struct ConfigurationItem { 1: string key, 2: i64 revision, 3: binary value }
struct PollCall { 1: string node, 2: string incarnation, 3: string mesh, 4: i64 revision, 5: list<i64> digests, 6: list<AppliedVersion> applied_versions, 7: bool takes_changes, 8: bool takes_block }
struct PollAnswer { 1: string error, 2: string mesh, 3: i64 revision, 4: i64 lease_age, 5: list<i64> ranges, 6: list<ConfigurationItem> items, 7: list<i64> expected_digests, 8: i64 epoch, 9: bool only_changes, 10: list<string> removed, 11: binary block }
struct AppliedVersionsCall { 1: string caller }
struct AppliedVersionsAnswer { 1: list<AppliedVersion> applied_versions, 2: i64 level }

struct HealthCall { 1: string node, 2: string incarnation, 3: string address, 4: string zone, 5: string service_name, 6: string instance, 7: string server, 8: string state, 9: i64 serial, 10: i64 seen, 11: i64 level }
struct HealthAnswer { 1: string error, 2: string state, 3: i64 serial }

struct MemberState { 1: string node, 2: string kind, 3: string address, 4: string zone, 5: string incarnation, 6: i64 count, 7: string state }
struct ProbeCall { 1: string caller, 2: list<MemberState> member_states }
struct ProbeAnswer { 1: string node, 2: list<MemberState> member_states }
struct IndirectProbeCall { 1: string caller, 2: string address }
struct IndirectProbeAnswer { 1: bool alive, 2: list<MemberState> member_states }

struct BundleForwardCall { 1: string attempt_id, 2: string caller, 3: string client, 4: string service_name, 5: string target, 6: string instance, 7: i64 bundle, 8: string route, 9: i64 budget, 10: string method, 11: string path, 12: map<string, string> headers, 13: binary body, 14: string hold, 15: i64 answer_bytes, 16: i64 ordinal }
struct BundleForwardAnswer { 1: string attempt_id, 2: string outcome, 3: string error, 4: string detail, 5: i64 status, 6: map<string, string> headers, 7: binary body, 8: string digest }

// Forwards a request in a mesh configured by items to the proxy of its server. Headers are a MessagePack list of
// (name, value) pairs.
struct ForwardCall { 1: string attempt_id, 2: string service_name, 3: string target, 4: string instance, 5: i64 budget, 6: i64 latency_target, 7: i64 rank, 8: string route, 9: string method, 10: binary path, 11: binary headers, 12: binary body, 13: string caller, 14: string client_attempt_id, 15: i64 ordinal, 16: bool repeatable }
struct ForwardAnswer { 1: string attempt_id, 2: string outcome, 3: string error, 4: i64 status, 5: binary headers, 6: binary body, 7: i64 load, 8: i64 capacity, 9: i64 run_time }
// Requests the outcome of an attempt whose connection was lost, from the incarnation of the sidecar to which it was sent.
struct FollowCall { 1: string attempt_id, 2: string incarnation, 3: i64 budget }
struct AbandonCall { 1: string attempt_id }
struct AbandonAnswer { 1: bool known }
// A large body is announced before it is sent, and sent once the receiver's link has capacity for it.
struct AnnounceBodyCall { 1: string attempt_id, 2: string service_name, 3: string target, 4: string instance, 5: i64 budget, 6: i64 latency_target, 7: i64 rank, 8: string route, 9: i64 body_octets }
struct AnnounceBodyAnswer { 1: string error, 2: i64 rate, 3: i64 link_wait }
struct ClaimQueryCall { 1: string claim }
struct ClaimQueryAnswer { 1: string state, 2: i64 status, 3: binary headers, 4: binary body }
struct PingCall { 1: string caller }
struct PingAnswer { 1: string node }

union Message {
  1: FetchCall fetch_call, 2: FetchAnswer fetch_answer, 3: FetchSnapshotCall fetch_snapshot_call, 4: FetchSnapshotAnswer fetch_snapshot_answer,
  5: VoteCall vote_call, 6: VoteAnswer vote_answer, 7: BeginEpochCall begin_epoch_call, 8: EndEpochCall end_epoch_call, 9: EpochAcknowledged epoch_acknowledged,
  10: BootstrapCall bootstrap_call, 11: BootstrapAnswer bootstrap_answer, 12: StatusCall status_call, 13: StatusAnswer status_answer,
  14: WriteCall write_call, 15: WriteAnswer write_answer, 16: ReadCall read_call, 17: ReadAnswer read_answer,
  18: PollCall poll_call, 19: PollAnswer poll_answer, 20: AppliedVersionsCall applied_versions_call, 21: AppliedVersionsAnswer applied_versions_answer,
  22: HealthCall health_call, 23: HealthAnswer health_answer,
  24: ProbeCall probe_call, 25: ProbeAnswer probe_answer, 26: IndirectProbeCall indirect_probe_call, 27: IndirectProbeAnswer indirect_probe_answer,
  28: BundleForwardCall bundle_forward_call, 29: BundleForwardAnswer bundle_forward_answer, 30: RaiseLevelCall raise_level_call, 31: RaiseLevelAnswer raise_level_answer,
  32: ForwardCall forward_call, 33: ForwardAnswer forward_answer, 34: ClaimQueryCall claim_query_call, 35: ClaimQueryAnswer claim_query_answer,
  36: PingCall ping_call, 37: PingAnswer ping_answer,
  38: FollowCall follow_call, 39: AbandonCall abandon_call, 40: AbandonAnswer abandon_answer,
  41: AnnounceBodyCall announce_body_call, 42: AnnounceBodyAnswer announce_body_answer,
  43: FoundingStatusCall founding_status_call, 44: FoundingStatusAnswer founding_status_answer
}

// One frame on a connection. number: matches an answer to its call.
// sent: the sender's monotonic clock when the frame was written, in microseconds; calls only.
struct Frame { 1: i64 number, 2: bool answer, 3: Message message, 4: i64 sent }
