"""Idempotency keys across changes of routes, tokens and client identities."""

from hoistsaddle.testbed.deployments import RequestKind
from hoistsaddle.testbed.history import RequestResult
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE

ANSWERED = ("answered", "")
CLIENT_UNSURE = ("refused", "key-visitor-unsure")
CLIENT_MISSING = ("refused", "visitor-missing")
OTHER_BODY = ("refused", "key-other-body")

FIRST_TOKEN = {"Authorization": "Bearer first"}
RENEWED_TOKEN = {"Authorization": "Bearer renewed"}
MEMBER_ONE = {**FIRST_TOKEN, "X-Member": "one"}
MEMBER_ONE_RENEWED = {**RENEWED_TOKEN, "X-Member": "one"}
MEMBER_TWO = {**FIRST_TOKEN, "X-Member": "two"}


class _KeyedRequests:
    """Sends keyed requests of one kind to random proxies and compares their results with the expected ones."""

    def __init__(self, simulation: SimulatedDeployment, request_kind: RequestKind) -> None:
        self.simulation = simulation
        self.request_kind = request_kind

    async def send(
        self, key: str, headers: dict[str, str], *, nonce: str = "", extra: str = "", client: str = "v"
    ) -> RequestResult:
        return await self.simulation.clients.send_request(
            self.request_kind,
            client=client,
            key=key,
            proxy=self.simulation.random.choice(list(self.simulation.processes.proxies)),
            headers=headers,
            nonce=nonce or f"key-{key}",
            extra=extra,
        )

    async def expect(
        self, expected: tuple[str, str], key: str, headers: dict[str, str], *, extra: str = ""
    ) -> RequestResult:
        """Sends a request that must end with this outcome and kind of error."""
        result = await self.send(key, headers, extra=extra)
        met = (result.outcome, result.kind)
        self.simulation.expect(f"{expected}, not {met}, for {result.request}", met == expected)
        return result

    def rename_route(self, declared: dict) -> None:
        """Changes a bundle's declarations: renames the route."""
        next(each for each in declared["entries"] if each["path"] == self.request_kind.path)["name"] = "renamed"

    def identify_by_member(self, declared: dict) -> None:
        """Changes a bundle's declarations: renames the route and identifies clients by a header."""
        self.rename_route(declared)
        declared["visitor"] = "header:X-Member"


async def _rename_route(simulation: SimulatedDeployment, requests: _KeyedRequests) -> None:
    """Renames the route by a bundle: in both stages, at every proxy, the same key must get the first answer."""
    operators = simulation.operators
    first = await requests.expect(ANSWERED, "renamed", FIRST_TOKEN)
    submitted = await operators.submit(
        simulation.deployment.changed_bundle(requests.rename_route, number=2, based_on=1)
    )
    answer = (await operators.sign(2, submitted.unwrap()["submitted"]["digest"])).unwrap()
    for proxy in list(simulation.processes.proxies):
        result = await simulation.clients.send_request(
            requests.request_kind, client="v", key="renamed", proxy=proxy, headers=FIRST_TOKEN, nonce="key-renamed"
        )
        simulation.expect(f"the first answer at {proxy}", (result.run, result.repeat) == (first.run, True))
    await operators.advance(2, answer["stage"])
    await requests.expect(ANSWERED, "renamed", FIRST_TOKEN)


async def keys_travel(simulation: SimulatedDeployment) -> None:
    """Keys are repeated after renamed routes, renewed tokens and changed cookies, and at machines in other stages."""
    await simulation.start()
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)
    requests = _KeyedRequests(simulation, once)
    await _rename_route(simulation, requests)
    # With a renewed token the client can't be identified: the request isn't run and doesn't get the first answer.
    await requests.expect(CLIENT_UNSURE, "renamed", RENEWED_TOKEN)
    await requests.expect(OTHER_BODY, "renamed", FIRST_TOKEN, extra="another body")
    await requests.expect(CLIENT_MISSING, "nobody", {})
    await requests.expect(CLIENT_MISSING, "nobody", {"Cookie": "lang=en"})
    await requests.expect(ANSWERED, "before", FIRST_TOKEN)
    await simulation.operators.roll_out(
        simulation.deployment.changed_bundle(requests.identify_by_member, number=3, based_on=2)
    )
    # The rule that identifies clients changed while the key was held: the client can't be matched, so the request
    # isn't run.
    await requests.expect(CLIENT_UNSURE, "before", MEMBER_ONE)
    held = await requests.expect(ANSWERED, "member", MEMBER_ONE)
    result = await requests.send("member", MEMBER_ONE_RENEWED)
    simulation.expect("the first answer under a renewed token", result.run == held.run)
    await requests.expect(OTHER_BODY, "member", MEMBER_ONE_RENEWED, extra="another body")
    # Two members with the same key and even the same token are still different clients.
    other_member = await requests.send("member", MEMBER_TWO, nonce="two-members", client="w")
    simulation.expect(
        "the same key of another member is a different key",
        other_member.outcome == "answered" and other_member.run != held.run,
    )
    await requests.expect(CLIENT_MISSING, "member", FIRST_TOKEN)
    # After all proxies restart, they learn the key from the log.
    simulation.processes.kill(*simulation.processes.proxies)
    simulation.processes.restart(*simulation.processes.proxies)
    await simulation.wait_until(simulation.is_serving, seconds=15, description="serving again")
    result = await requests.send("member", MEMBER_ONE_RENEWED)
    simulation.expect("the first answer after every proxy died", result.run == held.run)
    await simulation.clients.load(seconds=4, rate=RATE)
