"""Elections: who leads, who follows whom, trials before vote requests, and stepping down."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import Rounds
from hoistsaddle.raft.events import ProposalResult, ReadResult
from hoistsaddle.raft.replica import CANDIDATE, FOLLOWER, LEADER, NOT_LEADER_FOR_PARTITION, Replica
from hoistsaddle.rpc.messages import UNSET, BeginEpochCall, EndEpochCall, FetchAnswer, VoteAnswer, VoteCall
from hoistsaddle.statemachine.commands import LeaderChange
from hoistsaddle.statemachine.encoding import pack_command


class Elections(Replica):
    """Elections: who leads, who follows whom, trials before vote requests, and stepping down."""

    def _election_span(self) -> timedelta:
        spread = self.timings.election_timeout_max - self.timings.election_timeout_min
        return self.timings.election_timeout_min + spread * self.random.random()

    def _refused(self, replica: int) -> None:
        """The leader's process is gone: no need to wait until its silence has lasted."""
        if replica != self.leader or self.role == LEADER:
            return
        self.heard_leader = None
        self.fetch_sent = None
        # Some spread keeps the followers from standing at once; a leader that is back by then answers the fetches.
        self.election_at = min(self.election_at, self.now + self._election_span() * 0.2)

    def _step_down(self, epoch: int, leader: int) -> None:
        was = self.role
        if epoch > self.epoch:
            self.epoch = epoch
            self.vote = None
            self._write()
        if was == LEADER:
            for ticket in list(self.waiting):
                # The records may still commit under the next leader, so the honest word is "unsure".
                self._out.append(ProposalResult(ticket, str(ErrorKind.UNSURE), leader, UNSET, ()))
            for ticket, _ in self.reads:
                self._out.append(ReadResult(ticket, str(ErrorKind.NOT_LEADER), leader, None))
            for ticket, _, _ in self.held.values():
                self._answer(ticket, FetchAnswer(NOT_LEADER_FOR_PARTITION, self.epoch, leader))
            self.waiting, self.ticket_of, self.reads, self.held, self.progress = {}, {}, [], {}, {}
            self._announce("leader stepped down", leader=leader)
        self.role = FOLLOWER
        self.raising = 1
        self.leader = leader
        self.heard_leader = None
        self.election_at = self.now + self._election_span()
        self.granted = set()

    def _follow(self, epoch: int, leader: int) -> None:
        if epoch < self.epoch or (epoch == self.epoch and self.leader == leader and self.role == FOLLOWER):
            return
        self._step_down(epoch, leader)
        self.round_seen = 0
        # Hearing of a leader gives it time to answer the first fetch.
        self._announce("following", leader=leader)
        # The checkpoint being pulled was the old leader's. What is held here stayed whole, so the new one is asked
        # for the log after it; where that is gone, or nothing is held, it says where to begin.
        self._abandon_snapshot_fetch("")
        self._fetch()

    def _resign(self, *, successor: int = UNSET) -> None:
        for replica in self.replicas:
            if replica != self.replica:
                self._send(replica, EndEpochCall(self.epoch, self.replica, successor))
        self._step_down(self.epoch, UNSET)

    def _can_stand(self) -> bool:
        # A disk that can't write now couldn't lead either.
        stalled = bool(self.unsynced) and self.now - self.unsynced[0][2] > self.timings.disk_stall_timeout / 3
        return self.complete and self.is_voter() and not self.stopping and not stalled and not self.halted

    def _resigned(self, call: EndEpochCall) -> None:
        """The leader goes. Whom it names stands at once; the others wait, shorter if it names nobody."""
        # Its answer to the last fetch may have come first and said that it no longer leads.
        if call.epoch != self.epoch or self.leader not in (call.leader, UNSET):
            return
        self.leader = UNSET
        self.heard_leader = None
        if call.successor == self.replica and self._can_stand():
            self._announce("called to stand", by=call.leader)
            self._stand(pre_vote=False, handed=True)
            return
        # The spread keeps the followers from all standing at once.
        share = 0.15 if call.successor == UNSET else 0.5
        self.election_at = self.now + self._election_span() * share

    def _stand(self, *, pre_vote: bool, handed: bool = False) -> None:
        self.role = CANDIDATE
        self.pre_vote = pre_vote
        self.leader = UNSET
        if not pre_vote:
            self.epoch += 1
            self.vote = (self.replica, self.incarnation)
            self._write()
        self.granted = {(self.replica, self.incarnation)}
        self.election_at = self.now + self.timings.vote_retry_interval + self._election_span() * 0.5
        epoch = self.epoch + 1 if pre_vote else self.epoch
        checkpoint_id = self.vote_position
        for replica in self.replicas:
            if replica != self.replica:
                self._send(
                    replica,
                    VoteCall(
                        self.mesh,
                        epoch,
                        self.replica,
                        self.incarnation,
                        checkpoint_id.offset,
                        checkpoint_id.epoch,
                        pre_vote,
                        self.level,
                        handed,
                    ),
                )
        self._count_votes()

    def _vote_call(self, ticket: int, call: VoteCall) -> None:
        def answer(granted: bool) -> None:
            self._answer(
                ticket, VoteAnswer(self.epoch, self.replica, self.incarnation, granted, call.pre_vote, call.epoch)
            )

        # While a leader answers, a vote request from elsewhere would only disturb it, unless the leader asked for it.
        led = not call.handed and (
            self.role == LEADER
            or (self.heard_leader is not None and self.now - self.heard_leader < self.timings.election_timeout_min)
        )
        checkpoint_id = self.vote_position
        up_to_date = (call.last_epoch, call.last_offset) >= (checkpoint_id.epoch, checkpoint_id.offset)
        # A blank or foreign disk never votes: it can't know what its predecessor promised.
        # A whole replica that its own log doesn't show as a voter may be one by a record that it hasn't fetched yet;
        # its vote is kept on its disk and counts in those sets alone that name this disk.
        if (
            not (self.is_voter() or self.complete)
            or call.mesh != self.mesh
            or led
            or call.epoch < self.epoch
            or self.halted
        ):
            return answer(False)
        # A leader must be able to apply whatever the log may hold.
        if call.level < self.state.level:
            return answer(False)
        if call.pre_vote:
            return answer(up_to_date and call.epoch > self.epoch)
        if call.epoch > self.epoch:
            self._step_down(call.epoch, UNSET)
        free = self.vote in (None, (call.replica, call.incarnation)) and self.leader == UNSET
        if up_to_date and free:
            if self.vote is None:
                self.vote = (call.replica, call.incarnation)
                self._write()
            self.election_at = self.now + self._election_span()
            return answer(True)
        return answer(False)

    def _vote_answer(self, message: VoteAnswer) -> None:
        if message.epoch > self.epoch:
            self._step_down(message.epoch, UNSET)
            return
        expected = self.epoch + 1 if self.pre_vote else self.epoch
        if (
            self.role == CANDIDATE
            and message.granted
            and message.pre_vote == self.pre_vote
            and message.vote_epoch == expected
        ):
            self.granted.add((message.replica, message.incarnation))
            self._count_votes()

    def _count_votes(self) -> None:
        if not self._majority(self.granted):
            return
        if self.pre_vote:
            self._stand(pre_vote=False)
            return
        self.role = LEADER
        self.leader = self.replica
        self._abandon_snapshot_fetch("")
        self.heard_leader = None
        self.fetch_sent = None
        self.progress = {}
        self.held = {}
        self.reads = []
        self.rounds = Rounds(now=self.now)
        self.lead_since = self.now
        self.lead_sent = self.now
        # Mesh time goes on from the newest stamp in the log: it stood still while nobody led.
        self.base_stamp = max(self.log[-1].stamp if self.log else ZERO, self.state.mesh_time)
        self.epoch_began = self.last.offset + 1
        self._announce("leading", offset=self.epoch_began)
        self._append((self._record(pack_command(LeaderChange(self.replica))),))
        self._call_to_follow(everyone=True)
        self._advance()

    def _call_to_follow(self, *, everyone: bool) -> None:
        self.lead_sent = self.now
        heard = {
            replica
            for (replica, _), progress in self.progress.items()
            if self.now - progress.heard < self.timings.fetch_timeout
        }
        for replica in self.replicas:
            if replica != self.replica and (everyone or replica not in heard):
                self._send(replica, BeginEpochCall(self.mesh, self.epoch, self.replica))
