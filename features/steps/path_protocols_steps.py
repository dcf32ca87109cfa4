"""Steps of `path_protocols.feature`."""

import json

import anyio
import httpx
from behave import given, then, when

from features.support.path_engine import ScriptedEngine
from features.support.path_node import API_KEY, PathNode, generation_body
from features.support.path_sockets import GUARD_S, LOOPBACK, serving
from weirscale.ports.connection_limits import ConnectionLimits

END_MARKER = "data: [DONE]"


@given("the request path served on loopback")
def step_served(context):
    context.node = PathNode([ScriptedEngine("runner-1", arrives_together=True)])


@when("{count:d} callers concurrently request {kind} answers over {protocol}")
def step_send_requests(context, count, kind, protocol):
    context.responses = {}
    is_http2 = protocol == "HTTP/2"

    async def send_request(client, port, request_id):
        headers = {"authorization": f"Bearer {API_KEY}", "x-request-id": request_id}
        url = f"http://{LOOPBACK}:{port}/v1/chat/completions"
        body = generation_body(streamed=kind == "streamed")
        context.responses[request_id] = await client.post(url, headers=headers, content=body)

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.node.canceller.run)
            async with (
                serving(context.node.app, ConnectionLimits()) as port,
                httpx.AsyncClient(
                    http1=not is_http2, http2=is_http2, trust_env=False, timeout=GUARD_S
                ) as client,
                anyio.create_task_group() as callers,
            ):
                for number in range(count):
                    callers.start_soon(send_request, client, port, f"caller-{number}")
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("each caller has status 200 over {protocol} and its own complete {kind} answer")
def step_complete(context, protocol, kind):
    assert len(context.responses) == 6
    for request_id, response in context.responses.items():
        assert (response.status_code, response.http_version) == (200, protocol)
        text = response.text
        if kind == "streamed":
            assert text.rstrip().endswith(END_MARKER), text[-200:]
            events = [line for line in text.splitlines() if line.startswith("data: {")]
            assert {json.loads(event[6:])["id"] for event in events} == {request_id}
        else:
            answer = json.loads(text)
            assert answer["id"] == request_id
            assert answer["choices"][0]["finish_reason"]
