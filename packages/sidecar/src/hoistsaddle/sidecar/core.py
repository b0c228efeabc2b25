"""One stall that serves items: owner of every request in it. Events come in, commands go out, nothing else happens."""

from datetime import timedelta

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.proxy.messages import HoldAnswered, LeaseRenewed, SetupChanged, StopAsked, Ticked
from hoistsaddle.proxy.standing import OwnServer
from hoistsaddle.sidecar.entry import EntrySide
from hoistsaddle.sidecar.messages import (
    AbandonArrived,
    Asked,
    CloseAsked,
    DealAnswered,
    DealArrived,
    DealMissed,
    FollowArrived,
    Followed,
    Gone,
    GraceSpent,
    RecallAnswered,
    RecallArrived,
    Served,
    ServeMissed,
    Vitals,
)
from hoistsaddle.sidecar.serverside import CounterSide
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View


class SidecarCore(EntrySide, CounterSide):
    def __init__(self, *, server: str, drain_span: timedelta, **needs) -> None:
        super().__init__(**needs)
        self.server_address = server
        self.drain_span = drain_span

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        self.now = max(now, self.now)
        self._out = []
        match event:
            case Asked():
                self._asked(event)
            case DealAnswered():
                self._deal_answered(event)
            case DealMissed():
                self._deal_missed(event)
            case DealArrived():
                self._deal(event)
            case Served():
                self._served(event)
            case ServeMissed():
                self._serve_missed(event)
            case HoldAnswered(number=number, outcome=outcome):
                self._hold_answered(number, outcome)
            case RecallArrived():
                self._recall(event)
            case RecallAnswered():
                self._recall_answered(event)
            case FollowArrived():
                self._follow_arrived(event)
            case Followed():
                self._followed(event)
            case AbandonArrived():
                self._abandoned(event)
            case Vitals():
                self._vitals_told(event)
            case SetupChanged(view=view):
                self._setup(view)
            case LeaseRenewed(start=start):
                self.lease_start = start if self.lease_start is None else max(start, self.lease_start)
            case Gone(ticket=ticket):
                self._client_gone(ticket)
            case StopAsked():
                self.stopping = True
            case CloseAsked():
                self.closing = True
            case GraceSpent():
                self._end_all()
            case Ticked():
                self._entry_tick()
                self._counter_tick()
        return self._out

    def _setup(self, view: View) -> None:
        before, self.view = self.view, view
        if view.item_marks != before.item_marks:
            self._announce("items taken up", revision=view.revision, items=len(view.item_marks))
        known = view.servers.get(self.params.name)
        if (
            self.server is None
            and known is not None
            and known.state == READY
            and (known.service, known.address) == (self.service_here, self.server_address)
        ):
            self.assume_server(OwnServer(known.service, known.instance, known.address, READY, self.now))
        if (
            self.server is not None
            and self.server.state == READY
            and known is not None
            and known.state == GONE
            and self.server_state() == READY
        ):
            # Called gone while it lives, after a freeze or a cut: say so again at once.
            self._report()
        gone = [stall for stall in self.seen if stall not in view.servers]
        for stall in gone:
            del self.seen[stall]

    def ready(self) -> Mishap | None:
        """The platform's ready check. The core may be away: what is in force here goes on being in force."""
        if self.stopping:
            return Mishap(MishapKind.WINDING_DOWN, "This stall is stopping.", "Send new work elsewhere.")
        if self.view.items is None:
            return Mishap(MishapKind.NO_SETUP, "No setup is in force here yet.", "Wait for the core's news.")
        return None

    def idle(self) -> bool:
        return not self.deals and not self.runs and not self.releases
