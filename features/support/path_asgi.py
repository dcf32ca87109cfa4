"""Calls an ASGI application directly, as a caller that may stall, leave or read slowly."""

import json
from dataclasses import dataclass, field

import anyio

from features.support.path_node import API_KEY


@dataclass
class CallerScript:
    """What the caller does besides sending its request.

    `body_parts`: pieces of the body; `stalls_after`: sends no more after so many pieces;
    `leaves_after_s`: closes the connection; `read_delay_s`: time it takes for each piece.
    """

    method: str = "POST"
    path: str = "/v1/chat/completions"
    query: bytes = b""
    headers: dict = field(default_factory=dict)
    body_parts: list = field(default_factory=list)
    stalls_after: int | None = None
    leaves_after_s: float | None = None
    leaves_after_parts: int | None = None
    read_delay_s: float = 0.0
    has_key: bool = True


@dataclass
class Answer:
    status: int = 0
    headers: dict = field(default_factory=dict)
    parts: list = field(default_factory=list)
    is_ended: bool = False
    num_received_parts: int = 0
    has_caller_left: bool = False

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
    gone = anyio.Event()
    parts = list(script.body_parts)

    async def receive():
        answer.num_received_parts += 1
        sent = answer.num_received_parts - 1
        if script.leaves_after_parts == sent:
            return {"type": "http.disconnect"}
        if script.stalls_after == sent:
            await anyio.sleep_forever()
        if sent < max(1, len(parts)):
            body = parts[sent] if parts else b""
            return {"type": "http.request", "body": body, "more_body": sent + 1 < len(parts)}
        await gone.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        assert not answer.is_ended, "sent after the end"
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

    async def leave():
        await anyio.sleep(script.leaves_after_s)
        answer.has_caller_left = True
        gone.set()

    async with anyio.create_task_group() as tasks:
        if script.leaves_after_s is not None:
            tasks.start_soon(leave)
        await app(scope, receive, send)
        tasks.cancel_scope.cancel()
    return answer


async def call_with_canceller(node, script):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.canceller.run)
        answer = await call_app(node.app, script)
        await node.canceller.wait_idle()
        tasks.cancel_scope.cancel()
    return answer
