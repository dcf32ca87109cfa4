"""Call an ASGI application directly, as a caller that may stall, disconnect or read slowly."""

import json
from dataclasses import dataclass, field

import anyio

from features.support.path_node import API_KEY


@dataclass
class CallerScript:
    """A caller's request and how the caller sends it and reads the answer.

    `body_parts`: the body, part by part. `stalls_after_parts`: sends nothing more after this number
    of parts. `disconnects_after_s`, `disconnects_after_parts`: closes the connection then.
    `read_delay_s`: time to read each part of the answer.
    """

    method: str = "POST"
    path: str = "/v1/chat/completions"
    query: bytes = b""
    headers: dict = field(default_factory=dict)
    body_parts: list = field(default_factory=list)
    stalls_after_parts: int | None = None
    disconnects_after_s: float | None = None
    disconnects_after_parts: int | None = None
    read_delay_s: float = 0.0
    has_key: bool = True


@dataclass
class Answer:
    status: int = 0
    headers: dict = field(default_factory=dict)
    parts: list = field(default_factory=list)
    is_ended: bool = False
    num_received_parts: int = 0
    has_caller_disconnected: bool = False

    @property
    def body(self):
        return b"".join(self.parts)

    @property
    def events(self):
        lines = self.body.decode().split("\n\n")
        return [line.removeprefix("data: ") for line in lines if line]

    @property
    def is_streamed(self):
        return self.headers.get("content-type", "").startswith("text/event-stream")

    @property
    def error(self):
        if self.is_streamed:
            last = json.loads(self.events[-1]) if self.events[-1] != "[DONE]" else {}
            return last.get("error")
        if not self.headers.get("content-type", "").startswith("application/json"):
            return None
        return json.loads(self.body).get("error")

    @property
    def is_complete(self):
        if self.is_streamed:
            return self.is_ended and self.events[-1] == "[DONE]"
        return self.is_ended and self.status < 400

    @property
    def text(self):
        if not self.is_streamed:
            return json.loads(self.body)["choices"][0]["message"]["content"]
        objects = [json.loads(e) for e in self.events if e != "[DONE]"]
        return "".join(o["choices"][0]["delta"]["content"] for o in objects if "choices" in o)


async def call_app(app, script):
    answer = Answer()
    disconnected = anyio.Event()
    parts = list(script.body_parts)

    async def receive():
        answer.num_received_parts += 1
        num_sent = answer.num_received_parts - 1
        if script.disconnects_after_parts == num_sent:
            return {"type": "http.disconnect"}
        if script.stalls_after_parts == num_sent:
            await anyio.sleep_forever()
        if num_sent < max(1, len(parts)):
            body = parts[num_sent] if parts else b""
            return {"type": "http.request", "body": body, "more_body": num_sent + 1 < len(parts)}
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        assert not answer.is_ended, "the application sent a message after the end of the answer"
        if message["type"] == "http.response.start":
            answer.status = message["status"]
            answer.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        if script.read_delay_s:
            await anyio.sleep(script.read_delay_s)
        answer.parts.append(message["body"])
        answer.is_ended = not message["more_body"]

    headers = dict(script.headers)
    if script.has_key:
        headers.setdefault("authorization", f"Bearer {API_KEY}")
    scope = {
        "type": "http",
        "method": script.method,
        "path": script.path,
        "query_string": script.query,
        "headers": [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()],
    }

    async def disconnect():
        await anyio.sleep(script.disconnects_after_s)
        answer.has_caller_disconnected = True
        disconnected.set()

    async with anyio.create_task_group() as tasks:
        if script.disconnects_after_s is not None:
            tasks.start_soon(disconnect)
        await app(scope, receive, send)
        tasks.cancel_scope.cancel()
    return answer


async def call_with_canceller(node, script):
    """Call a node's application and wait until its cancellations are sent to the engines."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.canceller.run)
        answer = await call_app(node.app, script)
        await node.canceller.wait_idle()
        tasks.cancel_scope.cancel()
    return answer
