"""Steps of `unexpected_errors.feature`."""

import json
from base64 import b64encode
from random import Random

import anyio
from behave import given, then, when

from features.steps.path_checks_steps import PathSetting
from features.steps.relayed_connections_steps import free_address
from features.support.platform_fleet import MODEL, EventRecorder, Fleet, configuration, with_fleet
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.gossip.gossip_task import GossipTask
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_messages import (
    RelayRequest,
    decode_reply,
    encode_message,
    receive_message,
)
from weirscale.gateway.paths.relay_server import RelayGate, RelayServer
from weirscale.gateway.paths.relays import RelayOutcome
from weirscale.gateway.paths.tcp_opener import TcpOpener
from weirscale.gateway.peers.messages import OriginQuery
from weirscale.gateway.peers.messages import encode_message as encode_peer_message
from weirscale.gateway.ports.state_feed import BackEndRegistered, StateBatch, VersionedChange
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.unexpected_errors import UnexpectedErrors
from weirscale_platform.items import StoreItem, read_item

FAULTY = "e1"
LOAD_S = 13.0
SETTLE_S = 0.2
FAILING_METHODS = {
    "report": ("report",),
    "order": ("order",),
    "health_check": ("is_healthy", "run_state", "check_run"),
}


class UnforeseenError(Exception):
    """An error that no caller expects."""


async def fail(*_args, **_keywords):
    raise UnforeseenError("nobody expects this")


def make_calls_fail(node, methods):
    """Make some calls of a node to the faulty engine raise an error."""
    connect = node._ports._connect

    def connect_faulty(back_end, *rest):
        client = connect(back_end, *rest)
        if back_end.instance == FAULTY:
            for method in methods:
                setattr(client, method, fail)
        return client

    node._ports._connect = connect_faulty


@given("3 nodes and 6 engines, of which one engine's calls raise an error at {call}")
def step_engines(context, call):
    context.call = call


@when("a new version of the weights is named")
def step_named(context):
    fleet = context.fleet = Fleet()
    context.nodes = []

    async def body():
        for number in range(1, 7):
            fleet.add_runner(RunnerStandIn(f"e{number}", f"10.2.0.{number}:9000", "lm"))
        fleet.store.put("op/config", configuration())
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
        for number in range(1, 4):
            node = await fleet.start_node(f"node-{number}")
            make_calls_fail(node, FAILING_METHODS[context.call])
            node.health.unreachable(FAULTY, "test", anyio.current_time())
            context.nodes.append(node)
        await anyio.sleep(5.0)
        fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        await anyio.sleep(LOAD_S)
        context.versions = {runner.instance: runner.version for runner in fleet.runners}
        context.ages_s = [node.cluster.age_s() for node in context.nodes]

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("the other 5 engines have the new version within 13 seconds")
def step_versions(context):
    others = {name: version for name, version in context.versions.items() if name != FAULTY}
    assert set(others.values()) == {2}, context.versions


@then("all tasks of all nodes are running")
def step_running(context):
    assert len(context.fleet.nodes) == 3
    assert max(context.ages_s) < 3.0, context.ages_s


@then(
    "the errors are reported for that engine alone, with the kind of work and the place of the error"
)
def step_reported(context):
    errors = [
        error for log in context.fleet.logs.values() for error in log.named("unexpected_error")
    ]
    assert errors
    assert {error["subject"] for error in errors} == {FAULTY}, errors
    assert {error["work"] for error in errors} == {f"back_end_{context.call}"}, errors
    assert {error["error"] for error in errors} == {"UnforeseenError"}, errors
    assert all(error["raised_at"].startswith("unexpected_errors_steps.py:") for error in errors)


@given("a node that checks two lost paths, one of which raises an error")
def step_path_setting(context):
    context.setting = PathSetting(["a", "b"])
    context.log = EventRecorder()
    context.setting.checks._errors = UnexpectedErrors(context.log)


@when("3 seconds pass for the checks")
def step_path_checks(context):
    setting = context.setting
    opener_open = setting.opener.open

    async def open_or_fail(address):
        if address == "a":
            await fail()
        return await opener_open(address)

    async def script():
        for address in ("a", "b"):
            setting.state.relayed(address, "node-2", "TimeoutError")
        setting.opener.open = open_or_fail
        await anyio.sleep(3.0)

    setting.play(script)


@then("the other path is regained, and the error is reported")
def step_path_regained(context):
    state = context.setting.state
    assert state.is_lost("a") and not state.is_lost("b")
    errors = context.log.named("unexpected_error")
    assert errors and {(error["work"], error["subject"]) for error in errors} == {
        ("path_check", "a")
    }


class FailingOnce:
    """Receives messages; fails for the first one."""

    def __init__(self):
        self.received = []
        self.has_failed = False

    async def receive(self, message, _address):
        if not self.has_failed:
            self.has_failed = True
            await fail()
        self.received.append(message)


class NoRelay:
    """Stands in for the relay between groups of a node that sends nothing."""

    def interval_s(self):
        return 60.0

    def is_heartbeat_due(self, _timer):
        return False


@given("a node whose receiver fails for one message of two")
def step_receiver(context):
    context.receiver = FailingOnce()
    context.log = EventRecorder()


class EmptyOutbox:
    """An outbox without gossip."""

    def take(self, with_empty=False):
        return None


@when("both messages arrive")
def step_messages(context):
    message = OriginQuery("node-2", 1)
    own = free_address()
    address = ListenAddress(own.host, own.port)
    task = GossipTask(
        address, None, NoRelay(), EmptyOutbox(), context.receiver, lambda _: None,
        UnexpectedErrors(context.log),
    )  # fmt: skip

    async def main():
        async with (
            await anyio.create_connected_udp_socket(address.host, address.port) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(task.run)
            await anyio.sleep(SETTLE_S)
            for _ in range(2):
                await socket.send(encode_peer_message(message))
                await anyio.sleep(SETTLE_S)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the second one is processed, and the error is reported")
def step_second(context):
    assert len(context.receiver.received) == 1
    assert [error["work"] for error in context.log.named("unexpected_error")] == ["peer_message"]


class FailingGate(RelayGate):
    """Fails for the first connection."""

    num_asked = 0

    async def open(self, request):
        self.num_asked += 1
        if self.num_asked == 1:
            await fail()
        return await super().open(request)


@given("a relay that fails for the first connection")
def step_relay(context):
    context.log = EventRecorder()


@when("two nodes ask it for a connection")
def step_ask_relay(context):
    free = free_address()
    address = ListenAddress(free.host, free.port)
    state = PathState(context.log, anyio.current_time)
    gate = FailingGate("token", BackEndDirectory(), state, TcpOpener(), Random(1))
    server = RelayServer(
        address, gate, context.log, anyio.current_time, UnexpectedErrors(context.log)
    )

    async def ask_for_connection():
        async with await anyio.connect_tcp(address.host, address.port) as stream:
            await stream.send(encode_message(RelayRequest("token", "10.3.0.1:1")))
            buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
            try:
                return decode_reply(await receive_message(buffered)).outcome
            except (anyio.IncompleteRead, anyio.BrokenResourceError):
                return None

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            await anyio.sleep(SETTLE_S)
            context.outcomes = [await ask_for_connection(), await ask_for_connection()]
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the second one is answered, and the error is reported")
def step_relay_answered(context):
    assert context.outcomes == [None, RelayOutcome.UNKNOWN], context.outcomes
    errors = context.log.named("unexpected_error")
    assert [error["work"] for error in errors] == ["relayed_connection"], errors


@given("a node whose state fails to apply a configuration")
def step_state(context):
    context.log = EventRecorder()
    context.cluster = ClusterState(context.log, lambda: 100.0)

    def fail_on_table(_table):
        raise UnforeseenError("nobody expects this")

    context.cluster.observe_table(fail_on_table)


@when("it reads the configuration and a registration")
def step_read_state(context):
    value = b64encode(json.dumps(configuration()).encode()).decode()
    changed = read_item(StoreItem("op/config", 1, value))
    back_end = BackEnd("i-1", "lm", "10.3.0.1:1", "hall-a", BackEndState.READY, 4)
    registered = VersionedChange("servers/i-1", 2, BackEndRegistered(back_end))
    context.cluster.apply(StateBatch(2, (changed, registered)), 100.0)


@then("the back end is used, and the error is reported for the key of the configuration")
def step_state_applied(context):
    assert [one.instance for one in context.cluster.back_ends.ready(ServiceName("lm"))] == ["i-1"]
    errors = context.log.named("unexpected_error")
    assert [(error["work"], error["subject"]) for error in errors] == [
        ("state_change", "op/config")
    ], errors
