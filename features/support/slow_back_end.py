"""A back end on a loopback port that answers each request whole after a time of work."""

import anyio
from anyio.abc import SocketAttribute

from weirscale.standins.asgi_server import LOOPBACK

BODY = b"whole answer"


class SlowBackEnd:
    """Serves HTTP/1.1 requests of the published protocol.

    Args:
        instance: Its instance name.
        service: Its service.
        work_s: Seconds of work for each request.
        status: The status in its answers to requests.
    """

    def __init__(self, instance, service, work_s=0.0, status="200"):
        self.instance = instance
        self._service = service
        self._work_s = work_s
        self._status = status
        self.received = []
        """Ids of the requests that it has received."""
        self.address = None

    def entry(self):
        return {
            "service": self._service, "address": self.address, "zone": "hall-a", "version": "v1",
            "slots": 100, "state": "ready", "seq": 1,
        }  # fmt: skip

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.address = f"{LOOPBACK}:{listener.extra(SocketAttribute.local_port)}"
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream):
        try:
            async with stream:
                while True:
                    await self._answer(stream, await self._read_headers(stream))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _read_headers(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
        headers = {name.lower().decode(): value.strip().decode() for name, _, value in lines}
        while len(body) < int(headers.get("content-length", 0)):
            body += await stream.receive()
        return headers

    async def _answer(self, stream, headers):
        request_id = headers.get("x-attempt-id")
        if request_id is not None:
            self.received.append(request_id)
            await anyio.sleep(self._work_s)
        head = [
            f"HTTP/1.1 {self._status} Status", f"X-Instance-Id: {self.instance}", f"Content-Length: {len(BODY)}",
            f"X-Attempt-Id: {request_id}", f"X-Response-Seal: seal-{self.instance}",
        ]  # fmt: skip
        await stream.send("\r\n".join([*head, "", ""]).encode() + BODY)
