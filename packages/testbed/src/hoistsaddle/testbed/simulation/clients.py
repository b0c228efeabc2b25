"""The clients of a simulated deployment: single requests, and a load of them."""

import asyncio
import itertools

import msgspec

from hoistsaddle.proxy.messages import AnswerClient, RequestArrived
from hoistsaddle.testbed.deployments import Deployment, RequestKind
from hoistsaddle.testbed.history import History, RequestResult, RequestSent, ServiceRecovered
from hoistsaddle.testbed.process_names import PROXY
from hoistsaddle.testbed.simulation.processes import ProcessTable
from hoistsaddle.testbed.simulation.results import result_of
from hoistsaddle.testbed.simulation.world import World

# A client that got no answer by then gives up.
ANSWER_TIMEOUT_SECONDS = 15
POLL_SECONDS = 0.05
# A person presses the button again within so many seconds, so often, and so often although it was answered.
RETRY_SECONDS = 0.5
MAX_RETRIES = 2
RETRY_ANSWERED_PROBABILITY = 0.15
CLIENT_COUNT = 50
RECOVERY_POLL_SECONDS = 0.1


class Clients:
    """Sends requests to the proxies and writes down what came of them."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        world: World,
        history: History,
        counter: itertools.count,
        processes: ProcessTable,
    ) -> None:
        self.deployment = deployment
        self.world = world
        self.random = world.random
        self.history = history
        self.counter = counter
        self.processes = processes

    def _now(self) -> float:
        return self.world.loop.time()

    async def send_request(
        self,
        request_kind: RequestKind,
        *,
        client: str,
        key: str = "",
        proxy: str | None = None,
        nonce: str = "",
        extra: str = "",
        headers: dict[str, str] | None = None,
    ) -> RequestResult:
        """One request of one client, awaited to its end.

        Args:
            request_kind: what is asked for.
            client: who asks; its bearer token, unless headers are given.
            key: the idempotency key, if any.
            proxy: which proxy is asked; any one by default.
            nonce: the name of the request; made up by default.
            extra: more content for the body.
            headers: sent instead of the client's bearer token.
        """
        name = proxy or self.random.choice(list(self.processes.proxies))
        nonce = nonce or (f"key-{key}" if key else f"ask-{next(self.counter)}")
        began = self._now()
        body = msgspec.json.encode({"nonce": nonce, "extra": extra}) if request_kind.once else b""
        self.history.add(
            RequestSent(began, nonce, request_kind.method, request_kind.path, key, client, name, len(body))
        )
        process, node = self.processes.by_name[name], self.processes.nodes[name]
        if process.dead:
            return self._record(self._unanswered(nonce, "unreachable", proxy=name, asked=began))
        authorization = {"Authorization": f"Bearer {client}"} if headers is None else headers
        sent_headers = {**authorization, **({"Idempotency-Key": key} if key else {})}
        query = "" if request_kind.once else f"nonce={nonce}"

        async def arrive() -> AnswerClient:
            return await node.request(
                lambda ticket: RequestArrived(
                    ticket, "", client, request_kind.method, request_kind.path, query, sent_headers, body, key
                )
            )

        task = process.spawn(arrive())
        deadline = began + ANSWER_TIMEOUT_SECONDS
        while not task.done() and not process.dead and self._now() < deadline:
            await asyncio.wait([task], timeout=POLL_SECONDS)
        if task.done():
            result = result_of(task.result(), now=self._now(), request=nonce, proxy=name, asked=began)
            return self._record(result)
        return self._record(self._unanswered(nonce, "broken", proxy=name, asked=began))

    def _unanswered(self, nonce: str, outcome: str, *, proxy: str, asked: float) -> RequestResult:
        return RequestResult(self._now(), nonce, outcome, 0, "", "", False, proxy, asked=asked)

    def _record(self, result: RequestResult) -> RequestResult:
        self.history.add(result)
        return result

    async def _send_with_retries(self) -> None:
        """One person's request; it is sent again at another proxy after an error, and sometimes without one."""
        request_kinds = self.deployment.request_kinds
        request_kind = self.random.choices(request_kinds, weights=[each.weight for each in request_kinds])[0]
        client = f"visitor-{self.random.randrange(CLIENT_COUNT)}"
        key = f"{next(self.counter)}" if request_kind.once else ""
        result = await self.send_request(request_kind, client=client, key=key)
        for _ in range(MAX_RETRIES):
            if not request_kind.once or (
                result.outcome == "answered" and self.random.random() > RETRY_ANSWERED_PROBABILITY
            ):
                return
            await asyncio.sleep(self.random.random() * RETRY_SECONDS)
            result = await self.send_request(request_kind, client=client, key=key)

    async def load(self, *, seconds: float, rate: float) -> None:
        """Requests at this rate a second for so long, and then every answer awaited."""
        end = self._now() + seconds
        tasks = []
        while self._now() < end:
            tasks.append(self.world.loop.create_task(self._send_with_retries()))
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def wait_for_service(self, description: str, *, since: float | None = None) -> float:
        """Waits until a request of every kind was answered, and writes down how long that took.

        Args:
            description: what the service recovers from.
            since: when the machines came back; now by default.

        Returns:
            The seconds since then.
        """
        began = self._now() if since is None else since
        await asyncio.gather(*(self._until_answered(kind) for kind in self.deployment.request_kinds))
        self.history.add(ServiceRecovered(began, self._now(), description))
        return self._now() - began

    async def _until_answered(self, request_kind: RequestKind) -> None:
        while True:
            running = self.processes.running(PROXY)
            if running:
                key = f"back-{next(self.counter)}" if request_kind.once else ""
                proxy = self.random.choice(running)
                result = await self.send_request(request_kind, client="tester", key=key, proxy=proxy)
                if result.outcome == "answered":
                    return
            await asyncio.sleep(RECOVERY_POLL_SECONDS)
