"""One request at the limits of the pages, on a machine of the pages' size, sent slowly but within the idle time."""

import asyncio

from crowds import HOST, MB, ROUTE_HOST
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hostile_crowds import CALLER_HOST, HostileDeployment
from observed_process import usage_of

# The smallest machine of the pages whose sites have uploads, and the limits of the pages.
MEMORY_MB = 300
DESCRIPTORS = 4100
BODY_BYTES = 64 * MB
HEADER_BYTES = 16384
# Of the header limit, what is left for the fields that every request has.
OTHER_HEADER_BYTES = 512
PIECE_BYTES = 4 * MB
PAUSE_SECONDS = 0.4
SAMPLE_SECONDS = 0.02
ANSWER_SECONDS = 60.0


class LargestRequest(HostileDeployment):
    """A deployment in calm that gets a single request, the largest that its limits allow."""

    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS
    body_bytes = BODY_BYTES

    async def send(self, *, in_chunks: bool) -> tuple[int, dict[str, float]]:
        """Send the request; return the status of its answer, and the peak memory of each process in MB."""
        hosts = self._hosts()
        peaks = dict.fromkeys(hosts, 0.0)
        request = asyncio.ensure_future(self._send_slowly(in_chunks=in_chunks))
        while not request.done():
            await asyncio.sleep(SAMPLE_SECONDS)
            for name, host in hosts.items():
                usage = usage_of(self.processes[name].pid, host)
                if usage is not None:
                    peaks[name] = max(peaks[name], usage.resident_mb + usage.unread_mb)
        return await request, peaks

    async def _send_slowly(self, *, in_chunks: bool) -> int:
        host = CALLER_HOST if self.with_caller else HOST
        reader, writer = await asyncio.open_connection(host, adapter("samples").EGRESS)
        framing = "Transfer-Encoding: chunked" if in_chunks else f"Content-Length: {BODY_BYTES}"
        fields = f"Host: {ROUTE_HOST}\r\nAttempt-Id: o\r\nDeadline-Ms: 60000\r\n{framing}\r\n"
        padding = "y" * (HEADER_BYTES - OTHER_HEADER_BYTES)
        writer.write(f"POST /crowd/x HTTP/1.1\r\n{fields}X-Padding: {padding}\r\n\r\n".encode())
        piece = b"x" * PIECE_BYTES
        for _ in range(BODY_BYTES // PIECE_BYTES):
            writer.write(b"%x\r\n%b\r\n" % (PIECE_BYTES, piece) if in_chunks else piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        if in_chunks:
            writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(ANSWER_SECONDS):
            line = await reader.readline()
        writer.close()
        return int(line.split()[1])
