"""Steps of `stated_numbers.feature`."""

from functools import partial

import anyio
import httpx
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.platform_adapter_steps import outbound_request
from features.support.platform_fleet import (
    MODEL,
    Fleet,
    ask,
    configuration,
    generation_headers,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale_platform.back_end_client import BackEndClientConnector


class CountedBody(httpx.AsyncByteStream):
    """The body of an answer; counts how often it is closed."""

    num_closed = 0

    async def __aiter__(self):
        yield b"done"

    async def aclose(self):
        CountedBody.num_closed += 1


class HeaderTransport(httpx.AsyncBaseTransport):
    """Answers each request with given headers."""

    headers = ()

    async def handle_async_request(self, request):
        return httpx.Response(200, headers=list(self.headers), stream=CountedBody())


READ_HEADERS = (
    b"keep-alive", b"x-weight-versions", b"retry-after", b"server-limit", b"server-brittle",
    b"server-leaving", b"x-instance-id", b"x-attempt-id", b"connection", b"content-length",
)  # fmt: skip
HEADER_VALUES = (
    st.sampled_from([b"timeout=\xb2", b"timeout=" + b"9" * 400, b"9" * 5000, b"\xb2", b"-1", b""])
    | st.from_regex(rb"(timeout=|max=)?[-+0-9\xb2\xb3.,e ]{0,12}", fullmatch=True)
    | st.binary(max_size=8)
)


@when("back ends answer with any values of the headers that the gateway reads")
def step_any_headers(context):
    context.num_answers = 0
    CountedBody.num_closed = 0

    async def ask_with(headers):
        transport = HeaderTransport()
        transport.headers = headers
        back_end = BackEnd("o-1", "orders", "10.2.0.1:8080", "hall-a", BackEndState.READY, 4)
        port = BackEndClientConnector(lambda *_, **__: transport)(
            back_end, 4, lambda *_: None, None
        )
        async with port.send(outbound_request(1)) as sent:
            assert sent.is_ok()
        await port.close()

    @settings(max_examples=400, deadline=None, database=None, derandomize=True)
    @given_examples(
        st.lists(st.tuples(st.sampled_from(READ_HEADERS), HEADER_VALUES), min_size=1, max_size=3)
    )
    def answer_with(headers):
        context.num_answers += 1
        run_in_virtual_time(lambda: ask_with(headers))

    answer_with()


@then("each answer is read or rejected, and each connection is given back")
def step_given_back(context):
    assert context.num_answers >= 100
    assert CountedBody.num_closed == context.num_answers


@given("a node with an engine")
def step_engine(context):
    context.fleet = Fleet()


@when("a caller states the tokens {tokens} and the parts {parts}, and others ask meanwhile")
def step_absurd_tokens(context, tokens, parts):
    digits = "9" * 400
    tokens, parts = (text.replace("400 digits", digits) for text in (tokens, parts))

    async def body():
        fleet = context.fleet
        fleet.add_runner(RunnerStandIn("e1", "10.2.0.1:9000", "lm", read_s=1.0))
        fleet.store.put("op/config", configuration())
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
        node = await fleet.start_node()
        context.answers = []

        async def ask_as_other(number):
            headers = generation_headers(f"q{number}")
            context.answers.append(await ask(node, "/n/1", headers=headers))

        async with anyio.create_task_group() as tasks:
            headers = generation_headers("q0", parts=parts, tokens=tokens)
            tasks.start_soon(partial(ask, node, "/n/1", headers=headers))
            await anyio.sleep(0.1)
            for number in range(1, 4):
                tasks.start_soon(ask_as_other, number)

    run_in_virtual_time(lambda: with_fleet(context.fleet, body))


@then("the others are answered")
def step_others(context):
    assert [answer.status for answer in context.answers] == [200, 200, 200], context.answers
