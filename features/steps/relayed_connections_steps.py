"""Steps of `relayed_connections.feature`."""

from random import Random

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream
from behave import then, when

from features.steps.transport_connections_steps import FAIL_AFTER_S, KEEP_S, SETTLE_S, ask
from features.support.loopback import free_address
from features.support.platform_fleet import EventRecorder
from features.support.scripted_server import ScriptedServer, reset
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.paths import relay_server
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_messages import (
    END_FRAME,
    FrameDecoder,
    RelayRequest,
    decode_reply,
    encode_frame,
    encode_message,
    receive_message,
)
from weirscale.gateway.paths.relay_server import RelayGate, RelayServer
from weirscale.gateway.paths.tcp_opener import TcpOpener
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.gateway.settings import ListenAddress
from weirscale.ports.h11_transport import H11Transport
from weirscale.ports.unexpected_errors import UnexpectedErrors

TOKEN = "secret"
NUM_DIVISIONS = 200
MAX_FRAME_BYTES = 300


class RelayedSource:
    """Opens a transport's connections through a relay."""

    def __init__(self, relay):
        self._relay = relay

    async def open(self, host, port):
        return await TcpOpener().open_through(self._relay, f"{host}:{port}")

    def generation(self):
        return 0


class RelaySetting:
    """A scripted server, a relay before it, and a transport that goes through the relay."""

    def __init__(self, behaviour):
        self.server = ScriptedServer(behaviour)
        self.directory = BackEndDirectory()
        self.state = PathState(EventRecorder(), anyio.current_time)
        self.gate = RelayGate(TOKEN, self.directory, self.state, TcpOpener(), Random(1))
        address = free_address()
        self.relay = RelayPeer("node-2", ListenAddress(address.host, address.port), "z", TOKEN)
        self.transport = H11Transport(4, KEEP_S, source=RelayedSource(self.relay))
        self.relay_scope = anyio.CancelScope()

    def register(self, address):
        instance = f"i-{address}"
        self.directory.put(BackEnd(instance, "s", address, "z", BackEndState.READY, 4))

        self.relay_server = RelayServer(
            self.relay.address, self.gate, EventRecorder(), anyio.current_time,
            UnexpectedErrors(EventRecorder()),
        )  # fmt: skip

    async def run_relay(self):
        with self.relay_scope:
            await self.relay_server.run()


def run(behaviour, script):
    """Run `script(setting)`."""

    async def main():
        setting = RelaySetting(behaviour)
        with anyio.fail_after(FAIL_AFTER_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(setting.server.run)
                setting.register(setting.server.address)
                tasks.start_soon(setting.run_relay)
                await anyio.sleep(SETTLE_S)
                try:
                    return await script(setting)
                finally:
                    await setting.transport.aclose()
                    tasks.cancel_scope.cancel()

    return anyio.run(main, backend_options={"use_uvloop": True})


@when("two requests are sent to it through a relay, one after the other")
def step_two_requests(context):
    async def script(setting):
        first = await ask(setting.transport, setting.server.address)
        await anyio.sleep(SETTLE_S)
        context.answers = [first, await ask(setting.transport, setting.server.address)]
        context.server = setting.server

    run(context.behaviour, script)


async def answer_while(setting, action):
    """Return the answer to a request during which `action` runs once the server has it."""
    answers = []

    async def send():
        answers.append(await ask(setting.transport, setting.server.address))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        with anyio.fail_after(FAIL_AFTER_S):
            await setting.server.requested.wait()
        await anyio.sleep(SETTLE_S)
        await action(tasks)
    return answers


@when("the relay ends in the middle of an answer without a length")
def step_relay_ends(context):
    async def script(setting):
        async def end(_tasks):
            setting.relay_scope.cancel()

        context.answers = await answer_while(setting, end)

    run(context.behaviour, script)


@then("the answer is broken")
def step_broken(context):
    assert context.answers == ["broken"], context.answers


@when("the relay drains in the middle of an answer that ends {seconds:g} second later")
def step_drains(context, seconds):
    async def script(setting):
        async def drain(tasks):
            tasks.start_soon(allow_later, setting, seconds)
            began_s = anyio.current_time()
            await setting.relay_server.drain(began_s + FAIL_AFTER_S)
            context.drained_after_s = anyio.current_time() - began_s

        context.answers = await answer_while(setting, drain)

    run(context.behaviour, script)


async def allow_later(setting, seconds):
    await anyio.sleep(seconds)
    setting.server.may_answer.set()


@then("the answer is complete, and the relay has drained only then")
def step_drained(context):
    assert context.answers == ["answer 1"], context.answers
    assert context.drained_after_s >= 0.2, context.drained_after_s


@when("a node closes its relayed connection in the middle of an answer")
def step_node_closes(context):
    async def script(setting):
        async def leave(tasks):
            context.closed_at_s = anyio.current_time()
            tasks.cancel_scope.cancel()

        await answer_while(setting, leave)
        await anyio.sleep(0.5)
        context.ended_at_s = setting.server.ended_at_s
        context.num_open = setting.gate.num_open

    run(context.behaviour, script)


@then("the relay has no open connection left")
def step_none_open(context):
    assert context.num_open == 0, context.num_open


@then("the server sees the end within {seconds:g} seconds")
def step_sees_end(context, seconds):
    assert context.ended_at_s, "the server still has the connection"
    assert context.ended_at_s[0] - context.closed_at_s <= seconds, context.ended_at_s


async def ask_relay(setting, token=TOKEN, address=None):
    """Return the outcome that the relay states."""
    to = setting.relay.address
    async with await anyio.connect_tcp(to.host, to.port) as stream:
        request = RelayRequest(token, address or setting.server.address)
        await stream.send(encode_message(request))
        reply = decode_reply(await receive_message(BufferedByteReceiveStream(stream)))
        return reply.outcome.value


def lose_all_paths(setting):
    setting.state.relayed("10.0.0.1:1", "node-3", "TimeoutError")
    setting.state.relayed("10.0.0.2:1", "node-3", "TimeoutError")


CASES = {
    "with a wrong token": {"token": "guess"},
    "to an address without a back end": {"address": "127.0.0.1:9"},
    "while the relay is stopping": {},
    "while it relays its maximum": {},
    "while it has lost its own paths": {},
}


@when("a node asks a relay for a connection {case}")
def step_ask_relay(context, case):
    async def script(setting):
        if case == "while the relay is stopping":
            setting.gate.is_stopping = True
        if case == "while it relays its maximum":
            setting.gate.num_open = relay_server.MAX_CONNECTIONS
        if case == "while it has lost its own paths":
            lose_all_paths(setting)
        context.outcome = await ask_relay(setting, **CASES[case])
        context.server = setting.server

    run(context.behaviour, script)


@then('the relay answers "{outcome}" and the server gets no connection')
def step_no_connection(context, outcome):
    assert context.outcome == outcome, context.outcome
    assert context.server.num_connections == 0


OTHER_BACK_ENDS = {
    "another back end accepts connections": lambda setting: None,
    "no other back end does either": lambda setting: setting.register("127.0.0.1:9"),
    "there is no other back end": lambda setting: None,
}


@when("a node asks a relay to reach a closed port, and {others}")
def step_closed_port(context, others):
    async def script(setting):
        closed = "127.0.0.1:11"
        if others != "another back end accepts connections":
            setting.directory.remove(f"i-{setting.server.address}")
        OTHER_BACK_ENDS[others](setting)
        setting.register(closed)
        context.outcome = await ask_relay(setting, address=closed)

    run(context.behaviour, script)


class ScriptedOpener:
    """Opens connections to all addresses but one, whose attempts fail in the given ways."""

    def __init__(self, address, attempts):
        self._address = address
        self._attempts = attempts

    async def open(self, address):
        if address == self._address:
            if self._attempts.pop(0) == "refused":
                raise ConnectionRefusedError
            await anyio.sleep_forever()
        return await TcpOpener().open(address)


@when('a node asks a relay to reach a back end whose connections are "{attempts}"')
def step_scripted_attempts(context, attempts):
    async def script(setting):
        failing = "127.0.0.1:11"
        setting.directory.remove(f"i-{setting.server.address}")
        setting.register(failing)
        setting.gate._opener = ScriptedOpener(failing, attempts.split(", "))
        context.outcome = await ask_relay(setting, address=failing)

    run(context.behaviour, script)


@then('the relay answers "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


ARRIVALS = {
    "an HTTP request": b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    "a message of 4 GB": b"\xff\xff\xff\xff",
    "no valid message": encode_frame(b"\x01\x02"),
    "nothing, and the end": b"",
}


@when("{arrival} arrives at a relay")
def step_arrives(context, arrival):
    async def script(setting):
        to = setting.relay.address
        async with await anyio.connect_tcp(to.host, to.port) as stream:
            data = ARRIVALS[arrival]
            await stream.send(data) if data else await stream.send_eof()
            try:
                context.received = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                context.received = None
        context.outcome = await ask_relay(setting)

    run(context.behaviour, script)


@then("the relay closes that connection and serves the next one")
def step_closes(context):
    assert context.received is None, context.received
    assert context.outcome == "connected", context.outcome


RESET_STEP_S = 0.00005


async def reset_after(setting, delay_s, asks, sends):
    """Open a connection to the relay, use it for a moment, and reset it."""
    to = setting.relay.address
    stream = await anyio.connect_tcp(to.host, to.port)
    if asks:
        await stream.send(encode_message(RelayRequest(TOKEN, setting.server.address)))
    if sends:
        await receive_message(BufferedByteReceiveStream(stream))
        await stream.send(b"GET / HTTP/1.1\r\n\r\n")
    await anyio.sleep(delay_s)
    await reset(stream)


@when("{num:d} nodes reset their connections {moment}, each a little later than the one before")
def step_reset(context, num, moment):
    async def script(setting):
        sends = moment == "while they receive the answer"
        asks = sends or moment == "after they asked"
        for number in range(num):
            await reset_after(setting, number * RESET_STEP_S, asks, sends)
        await anyio.sleep(SETTLE_S)
        context.outcome = await ask_relay(setting)

    run(context.behaviour, script)


@then("the relay still serves")
def step_still_serves(context):
    assert context.outcome == "connected", context.outcome


@then("frames of 0 to 300 bytes in 200 random divisions decode to what was sent")
def step_frames(context):
    random = Random(7)
    for _ in range(NUM_DIVISIONS):
        sizes = [random.randint(1, MAX_FRAME_BYTES) for _ in range(random.randint(0, 9))]
        contents = [random.randbytes(size) for size in sizes]
        data = b"".join(map(encode_frame, contents)) + END_FRAME
        decoder, decoded = FrameDecoder(), b""
        while data:
            size = random.randint(1, 40)
            assert not decoder.is_ended
            decoded += decoder.feed(data[:size])
            data = data[size:]
        assert decoder.is_ended and decoded == b"".join(contents)
