// What hoistsaddle's processes say to each other. One union: its set field is the message's tag.
// Times are microseconds. An offset of -1 means "not set".

struct Record { 1: i64 offset, 2: i64 epoch, 3: i64 stamp, 4: binary payload }

struct FetchCall { 1: string mesh, 2: i64 replica, 3: string incarnation, 4: i64 epoch, 5: i64 fetch_offset, 6: i64 fetch_epoch, 7: i64 round, 8: bool whole, 9: i64 level, 10: bool leaving }
struct FetchAnswer { 1: string mishap, 2: i64 epoch, 3: i64 leader, 4: i64 high_watermark, 5: i64 begin_offset, 6: list<Record> records, 7: i64 diverging_offset, 8: i64 diverging_epoch, 9: i64 checkpoint_offset, 10: i64 checkpoint_epoch, 11: i64 next_offset, 12: i64 round, 13: i64 leave, 14: i64 contact_age }
struct PullCall { 1: i64 replica, 2: i64 epoch, 3: i64 checkpoint_offset, 4: i64 checkpoint_epoch, 5: i64 position, 6: i64 max_bytes }
struct PullAnswer { 1: string mishap, 2: i64 epoch, 3: i64 checkpoint_offset, 4: i64 checkpoint_epoch, 5: i64 position, 6: binary data, 7: bool continues }
struct BallotCall { 1: string mesh, 2: i64 epoch, 3: i64 replica, 4: string incarnation, 5: i64 last_offset, 6: i64 last_epoch, 7: bool trial, 8: i64 level, 9: bool handed }
struct BallotAnswer { 1: i64 epoch, 2: i64 replica, 3: string incarnation, 4: bool granted, 5: bool trial, 6: i64 ballot_epoch }
struct LeadCall { 1: string mesh, 2: i64 epoch, 3: i64 leader }
struct ResignCall { 1: i64 epoch, 2: i64 leader, 3: i64 successor }
struct Heard { 1: i64 epoch }

struct FoundCall { 1: string mesh, 2: map<i64, string> voters, 3: map<string, string> operators, 4: i64 level }
struct FoundAnswer { 1: string mishap, 2: string mesh, 3: string incarnation }
struct LookCall { 1: string asker, 2: i64 after }
struct LookAnswer { 1: string mesh, 2: i64 replica, 3: string incarnation, 4: i64 epoch, 5: i64 leader, 6: string standing, 7: i64 last_offset, 8: i64 high_watermark, 9: i64 begin_offset, 10: binary counters, 11: binary happenings, 12: i64 level, 13: string halted, 14: i64 unsynced }

struct RaiseCall { 1: i64 level }
struct RaiseAnswer { 1: string mishap, 2: string message }

struct WriteCall { 1: string asker, 2: list<binary> payloads }
struct WriteAnswer { 1: string mishap, 2: i64 leader, 3: list<binary> outcomes, 4: i64 offset }
struct ReadCall { 1: string asker, 2: string part, 3: i64 known_revision }
struct ReadAnswer { 1: string mishap, 2: i64 leader, 3: i64 revision, 4: i64 offset, 5: binary content, 6: list<i64> digests, 7: i64 epoch }

struct Uptake { 1: string node, 2: i64 revision, 3: i64 bundle, 4: string refusal, 5: string incarnation, 6: i64 refused_bundle }
struct NewsItem { 1: string key, 2: i64 revision, 3: binary value }
struct PollCall { 1: string node, 2: string incarnation, 3: string mesh, 4: i64 revision, 5: list<i64> digests, 6: list<Uptake> uptakes, 7: bool takes_changes, 8: bool takes_block }
struct PollAnswer { 1: string mishap, 2: string mesh, 3: i64 revision, 4: i64 lease_age, 5: list<i64> ranges, 6: list<NewsItem> items, 7: list<i64> vouched, 8: i64 epoch, 9: bool only_changes, 10: list<string> removed, 11: binary block }
struct UptakeCall { 1: string asker }
struct UptakeAnswer { 1: list<Uptake> uptakes, 2: i64 level }

struct VitalsCall { 1: string node, 2: string incarnation, 3: string address, 4: string zone, 5: string service_name, 6: string instance, 7: string server, 8: string state, 9: i64 serial, 10: i64 seen, 11: i64 level }
struct VitalsAnswer { 1: string mishap, 2: string state, 3: i64 serial }

struct Rumour { 1: string node, 2: string kind, 3: string address, 4: string zone, 5: string incarnation, 6: i64 count, 7: string state }
struct ProbeCall { 1: string asker, 2: list<Rumour> rumours }
struct ProbeAnswer { 1: string node, 2: list<Rumour> rumours }
struct ProbeForCall { 1: string asker, 2: string address }
struct ProbeForAnswer { 1: bool alive, 2: list<Rumour> rumours }

struct PassCall { 1: string send, 2: string caller, 3: string visitor, 4: string service_name, 5: string target, 6: string instance, 7: i64 bundle, 8: string entry, 9: i64 budget, 10: string method, 11: string path, 12: map<string, string> headers, 13: binary body, 14: string hold, 15: i64 answer_bytes, 16: i64 ordinal }
struct PassAnswer { 1: string send, 2: string outcome, 3: string mishap, 4: string detail, 5: i64 status, 6: map<string, string> headers, 7: binary body, 8: string digest }

// A request under items, on its way to the stall beside the server that is to run it. Headers are packed name, value pairs.
struct DealCall { 1: string send, 2: string service_name, 3: string target, 4: string instance, 5: i64 budget, 6: i64 aim, 7: i64 rank, 8: string entry, 9: string method, 10: binary path, 11: binary headers, 12: binary body, 13: string caller, 14: string send_id, 15: i64 ordinal, 16: bool repeatable }
struct DealAnswer { 1: string send, 2: string outcome, 3: string mishap, 4: i64 status, 5: binary headers, 6: binary body, 7: i64 load, 8: i64 room, 9: i64 took }
// What became of an attempt whose connection broke: send is its id, life the life of the sidecar that it went to.
struct FollowCall { 1: string send, 2: string life, 3: i64 budget }
struct AbandonCall { 1: string send }
struct AbandonAnswer { 1: bool known }
struct RecallCall { 1: string claim }
struct RecallAnswer { 1: string standing, 2: i64 status, 3: binary headers, 4: binary body }
struct PulseCall { 1: string asker }
struct PulseAnswer { 1: string node }

union Parcel {
  1: FetchCall fetch_call, 2: FetchAnswer fetch_answer, 3: PullCall pull_call, 4: PullAnswer pull_answer,
  5: BallotCall ballot_call, 6: BallotAnswer ballot_answer, 7: LeadCall lead_call, 8: ResignCall resign_call, 9: Heard heard,
  10: FoundCall found_call, 11: FoundAnswer found_answer, 12: LookCall look_call, 13: LookAnswer look_answer,
  14: WriteCall write_call, 15: WriteAnswer write_answer, 16: ReadCall read_call, 17: ReadAnswer read_answer,
  18: PollCall poll_call, 19: PollAnswer poll_answer, 20: UptakeCall uptake_call, 21: UptakeAnswer uptake_answer,
  22: VitalsCall vitals_call, 23: VitalsAnswer vitals_answer,
  24: ProbeCall probe_call, 25: ProbeAnswer probe_answer, 26: ProbeForCall probe_for_call, 27: ProbeForAnswer probe_for_answer,
  28: PassCall pass_call, 29: PassAnswer pass_answer, 30: RaiseCall raise_call, 31: RaiseAnswer raise_answer,
  32: DealCall deal_call, 33: DealAnswer deal_answer, 34: RecallCall recall_call, 35: RecallAnswer recall_answer,
  36: PulseCall pulse_call, 37: PulseAnswer pulse_answer,
  38: FollowCall follow_call, 39: AbandonCall abandon_call, 40: AbandonAnswer abandon_answer
}

// One frame on a line: number pairs an answer with its call.
// sent: the sender's monotonic clock as the frame was written, in microseconds; calls only.
struct Frame { 1: i64 number, 2: bool answer, 3: Parcel parcel, 4: i64 sent }
