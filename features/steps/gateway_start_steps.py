"""Steps of `gateway_start.feature`."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    ADAPTER,
    EventRecorder,
    Fleet,
    ask,
    configuration,
    request_headers,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.program import GatewayProgram
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.ports.listeners import open_listener, port_of
from weirscale_platform.first_listeners import open_first_listeners
from weirscale_platform.names import SETTINGS_VARIABLE

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 10.0
EXIT_BAD_SETTINGS = 2
SOURCES = ADAPTER.parent / "src"
OWN_PACKAGES = {"weirscale", "weirscale_platform"}
CHILD = """
import sys
before = set(sys.modules)
from weirscale_platform.first_listeners import open_first_listeners
listeners = open_first_listeners()
print(len(listeners), *sorted({name.partition(".")[0] for name in set(sys.modules) - before}))
sys.stdout.flush()
sys.stdin.readline()
"""
START_S = 0.1
"""Time that `Fleet.start_node` waits after it has started a node."""


def free_port():
    with open_listener(LOOPBACK, 0) as listener:
        return port_of(listener)


def write_settings(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "settings.toml"
    path.write_text(text)
    return path


def open_listeners_here(context, path):
    """Open the first listeners of a settings file in this process, and close them after the scenario."""
    before = os.environ.get(SETTINGS_VARIABLE)
    os.environ[SETTINGS_VARIABLE] = str(path)
    try:
        context.listeners = open_first_listeners()
    finally:
        if before is None:
            del os.environ[SETTINGS_VARIABLE]
        else:
            os.environ[SETTINGS_VARIABLE] = before
    for listener in context.listeners.values():
        context.add_cleanup(listener.close)


@given("a settings file with two free loopback addresses")
def step_settings(context):
    context.ports = (free_port(), free_port())
    frontend, ready = (f"{LOOPBACK}:{port}" for port in context.ports)
    text = f'[listen]\nfrontend = "{frontend}"\nready = "{ready}"\n'
    context.path = write_settings(context, text)


@given('a settings file with "{problem}" for its listeners')
def step_wrong(context, problem):
    texts = {
        "no file": "",
        "no TOML": "= =",
        "no listen table": 'ip = "10.0.0.1"',
        "listen as a string": 'listen = "10.0.0.1"',
        "an address without port": '[listen]\nfrontend = "10.0.0.1"\nready = "10.0.0.1"',
    }
    context.path = write_settings(context, texts[problem])
    if problem == "no file":
        context.path.unlink()


@when("the first listeners are opened in a process of their own")
def step_child(context):
    environment = os.environ | {
        SETTINGS_VARIABLE: str(context.path),
        "PYTHONPATH": os.pathsep.join([str(SOURCES), str(ADAPTER)]),
    }
    child = subprocess.Popen(
        [sys.executable, "-S", "-c", CHILD],
        env=environment,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(child.communicate)
    count, *modules = child.stdout.readline().split()
    assert count == "2", count
    context.modules = set(modules)


@when("the first listeners are opened")
def step_open(context):
    open_listeners_here(context, context.path)


@then("that process has loaded no module outside the standard library and the adapter")
def step_modules(context):
    foreign = context.modules - sys.stdlib_module_names - OWN_PACKAGES
    assert not foreign, foreign
    assert context.modules >= OWN_PACKAGES, context.modules


@then("callers can connect to both listeners meanwhile")
def step_connected(context):
    for port in context.ports:
        with socket.create_connection((LOOPBACK, port), TIMEOUT_S) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n")


@then("no listener was opened")
def step_none_opened(context):
    assert context.listeners == {}, context.listeners


@when("the platform's program is started and receives SIGHUP as soon as it listens")
def step_hup_at_start(context):
    process = subprocess.Popen(
        [sys.executable, str(ADAPTER / "run.py")],
        env=os.environ | {SETTINGS_VARIABLE: str(context.path)},
        stderr=subprocess.PIPE,
    )
    context.add_cleanup(process.stderr.close)
    context.add_cleanup(process.kill)
    wait_until_listening(context.ports[-1])
    process.send_signal(signal.SIGHUP)
    context.exit_code = process.wait(TIMEOUT_S)


def wait_until_listening(port):
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError):
            socket.create_connection((LOOPBACK, port)).close()
            return
        time.sleep(0.002)
    raise AssertionError("the program did not listen in time")


@then("the program exits because of its incomplete settings, not because of the signal")
def step_ends_for_settings(context):
    assert context.exit_code == EXIT_BAD_SETTINGS, context.exit_code


@then("a program with these listeners opens no other socket for their addresses")
def step_program(context):
    adapter = SimpleNamespace(
        settings=None, feed=lambda: None, store=lambda: None, connector=lambda: None,
        codec=lambda: None,
    )  # fmt: skip
    callers, readiness = (ListenAddress(LOOPBACK, port) for port in context.ports)
    peers = ListenAddress(LOOPBACK, 1)
    settings = GatewaySettings("node-1", "hall-a", callers, readiness, peers)

    async def make():
        return GatewayProgram(adapter, settings, EventRecorder(), Random(1), context.listeners)

    program = run_in_virtual_time(make)
    for address in (callers, readiness):
        assert program._listener(address) is context.listeners[LOOPBACK, address.port]


@given("the store is reachable {reachable:g} s after the start of a node")
def step_store(context, reachable):
    context.reachable_s = reachable


@when("a request with a deadline of {timeout:g} s arrives {arrival:g} s after the start")
def step_request_with_deadline(context, timeout, arrival):
    ask_starting_node(context, arrival, x_deadline_ms=int(1000 * timeout))


@when("a request arrives {arrival:g} s after the start")
def step_request(context, arrival):
    ask_starting_node(context, arrival)


def ask_starting_node(context, arrival_s, **headers):
    """Send a request to a node whose store becomes reachable `context.reachable_s` after the start."""
    fleet = Fleet()
    fleet.store.is_down = True

    async def open_store():
        await anyio.sleep(context.reachable_s)
        fleet.store.is_down = False

    async def body():
        fleet.store.put("op/config", configuration())
        fleet.add_runner(RunnerStandIn("o-1", "10.2.0.1:8080", "orders", model=None))
        fleet.tasks.start_soon(open_store)
        node = await fleet.start_node()
        await anyio.sleep(arrival_s - START_S)
        context.answer = await ask(node, "/o/1", headers=request_headers(**headers))

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("the request gets {status:d} after {least:g} to {most:g} s")
def step_answer(context, status, least, most):
    answer = context.answer
    assert answer.status == status, answer
    assert least <= answer.took_s <= most, answer
    if status == 503:
        assert answer.header("retry-after"), answer
