"""Nodes with scripted right or wrong behaviour, for tests of the experiment harness."""

import json

import anyio

from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.domain.request.model import ServiceRequest
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.ports.asgi import send_whole
from weirscale.standins.engine.answer import CHARACTERS_PER_TOKEN, expected_text

TOKENS_PER_CHUNK = 4
NOT_RUN_BODY = b'{"error": {"code": "overloaded", "run_status": "not_run"}}'


class FixedConfiguration:
    """A configuration view that never changes."""

    def __init__(self, deployment):
        self._in_force = ConfigurationInForce(1, deployment)

    def current(self):
        return self._in_force

    async def changed_after(self, revision):
        if revision >= self._in_force.revision:
            await anyio.sleep_forever()
        return self._in_force


class ScriptedNode:
    """Answers chat requests itself and forwards changes to the first back end."""

    def __init__(self, platform, behaviour):
        self.configuration = FixedConfiguration(platform.deployment)
        self._service = platform.services[sorted(platform.services)[0]]
        self._behaviour = behaviour

    async def run(self):
        await anyio.sleep_forever()

    async def drain(self):
        return None

    async def caller_app(self, scope, receive, send):
        message = await receive()
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        if self._behaviour == "answering never":
            await anyio.sleep_forever()
        if self._behaviour == "raising exceptions":
            raise RuntimeError("a bug of the scripted node")
        if scope["path"].startswith("/services/"):
            await self._serve_change(scope, headers, message["body"], send)
        else:
            await self._stream(headers["x-request-id"], json.loads(message["body"]), send)

    async def _serve_change(self, scope, headers, body, send):
        request = ServiceRequest(
            request_id=headers["x-request-id"],
            tenant="scripted",
            service="scripted",
            method=scope["method"],
            path=scope["path"],
            headers=headers,
            body=body,
            deadline_s=anyio.current_time() + 5.0,
            repeatable=False,
            idempotency_key=headers.get("idempotency-key"),
            priority=1,
        )
        answer = await self._service.call(request, 5.0)
        if self._behaviour == "running changes twice":
            answer = await self._service.call(request, 5.0)
        if self._behaviour == "running after refusing as not run":
            await send_whole(send, 503, [], NOT_RUN_BODY)
            return
        await send_whole(send, answer.ok_value.status, [], answer.ok_value.body)

    async def _stream(self, request_id, body, send):
        text = expected_text(prompt_bytes(body), body["max_tokens"])
        if self._behaviour == "swapping text between requests":
            text = text[::-1]
        if self._behaviour == "ending streams early":
            text = text[: len(text) // 2]
        if self._behaviour == "naming other requests":
            request_id = "another"
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        size = TOKENS_PER_CHUNK * CHARACTERS_PER_TOKEN
        starts = range(0, len(text), size)
        for start in starts:
            await anyio.sleep(0.01)
            reason = "length" if start == starts[-1] else None
            choice = {"delta": {"content": text[start : start + size]}, "finish_reason": reason}
            data = json.dumps({"id": request_id, "choices": [choice]}).encode()
            event = b"data: " + data + b"\n\n"
            await send({"type": "http.response.body", "body": event, "more_body": True})
        end = b"" if self._behaviour == "leaving out the end marker" else b"data: [DONE]\n\n"
        await send({"type": "http.response.body", "body": end, "more_body": False})
