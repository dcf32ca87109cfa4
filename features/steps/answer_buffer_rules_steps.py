"""Steps of `answer_buffer_rules.feature`."""

import anyio
from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.ports.back_end import Answer, BodyBrokenError, BodyEnd
from weirscale.gateway.requests.answer_buffers import AnswerBuffers
from weirscale.gateway.requests.relay import AnswerRelay, read_whole_body

PART_BYTES = 10
PART_S = 0.01
WAIT_S = 10.0
EVENTS = b"id: 1\ndata: a\n\n" + b"id: 2\ndata: b\n\n" + b"id: 3\ndata: c\n\n"


def answer_of(parts, last_pause_s=0.0):
    """Return a successful answer whose parts come one after another."""

    async def body():
        for part in parts:
            await anyio.sleep(PART_S)
            yield part
        await anyio.sleep(last_pause_s)

    return Answer(200, (), None, None, False, True, None, body())


class RecordingResponder:
    """Keeps what is sent to the caller."""

    def __init__(self):
        self.has_begun = False
        self.has_ended = False
        self.sent = b""

    async def send_head(self, _status, _headers):
        self.has_begun = True

    async def send_part(self, data):
        self.sent += data

    async def send_end(self):
        self.has_ended = True


class SilentObserver:
    """Observes nothing."""

    def events_arrived(self):
        pass

    def paused(self, pause_s, began_s):
        pass

    async def stream_begins(self):
        pass

    async def events_relayed(self):
        pass

    async def body_ended(self):
        pass


@given("a node that holds at most {most:d} bytes of answers")
def step_buffers(context, most):
    context.buffers = AnswerBuffers(most)
    context.ends = {}


async def read(context, size, last_pause_s=0.0):
    """Read a whole answer, and keep its size or how it broke."""
    parts = [b"x" * PART_BYTES] * (size // PART_BYTES)
    try:
        body = await read_whole_body(answer_of(parts, last_pause_s), context.buffers)
    except BodyBrokenError as error:
        context.ends[size] = error.end
    else:
        context.ends[size] = len(body)


async def relay(context, parts, last_pause_s=0.0):
    """Relay a stream, and keep how it broke."""
    context.responder = RecordingResponder()
    context.relay = AnswerRelay(context.responder, context.buffers, 0.0, anyio.current_time)
    try:
        await context.relay.relay_stream(answer_of(parts, last_pause_s), SilentObserver())
    except BodyBrokenError as error:
        context.ends["stream"] = error.end


@when("answers of 100, 300 and 900 bytes arrive in turns of 10 bytes")
def step_in_turns(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            for size in (100, 300, 900):
                tasks.start_soon(read, context, size, 1.0)

    run_in_virtual_time(main)


@then("the answer of 900 bytes is broken as too large, and the others are complete")
def step_largest(context):
    assert context.ends == {100: 100, 300: 300, 900: BodyEnd.TOO_LARGE}, context.ends


@then("nothing is held at the end")
def step_nothing_held(context):
    assert context.buffers.num_bytes == 0


@when("an answer of 600 bytes waits for its end while one of 500 bytes arrives")
def step_waits(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, context, 600, WAIT_S)
            await anyio.sleep(WAIT_S / 2)
            tasks.start_soon(read, context, 500)

    run_in_virtual_time(main)


@then("the answer of 600 bytes is broken as too large, and the other is complete")
def step_waited(context):
    assert context.ends == {600: BodyEnd.TOO_LARGE, 500: 500}, context.ends


@when(
    "a stream waits for its end inside an event of 600 bytes while an answer of 500 bytes arrives"
)
def step_stream_waits(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(relay, context, [EVENTS, b"data: " + b"x" * 594, b"x"], WAIT_S)
            await anyio.sleep(WAIT_S / 2)
            tasks.start_soon(read, context, 500)

    run_in_virtual_time(main)


@when("a stream has 3 events and then one without end")
def step_endless_event(context):
    parts = [EVENTS, *[b"x" * 65_536] * 100]
    run_in_virtual_time(lambda: relay(context, parts))


@then("the stream is broken as too large after its whole events, and the other is complete")
def step_stream_and_other(context):
    assert context.ends[500] == 500, context.ends
    check_broken_stream(context)


@then("the stream is broken as too large after its whole events")
def step_stream_broken(context):
    check_broken_stream(context)


def check_broken_stream(context):
    assert context.ends["stream"] is BodyEnd.TOO_LARGE, context.ends
    assert context.responder.sent == EVENTS
    assert not context.responder.has_ended


@then('the id of the last relayed event is "{event_id}"')
def step_last_id(context, event_id):
    assert context.relay.last_event_id == event_id
