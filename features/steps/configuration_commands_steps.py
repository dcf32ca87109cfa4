import io
import random
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest.mock import patch

import msgspec
from anyio.from_thread import start_blocking_portal
from behave import given, then, when

from features.support.deployments import DEPLOYMENTS
from features.support.loopback import served
from weirscale.cli import configuration as commands
from weirscale.node.configuration.status import (
    STATUS_PATH,
    FleetConfigurationStatus,
    NodeConfigurationStatus,
)
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.server import KeyValueServer

UNUSED_ADDRESS = "127.0.0.1:1"
FILES = {
    "a binary file": b"\xff\xfe",
    "a file of 2 errors": b"format: x\nname: a\nmodels: []\nengines: []\ntenants: []\n",
}


def run_command(function, *arguments, **options):
    """Return the exit code and everything printed to stdout and stderr."""
    printed = io.StringIO()
    with redirect_stdout(printed), redirect_stderr(printed):
        code = function(*arguments, **options)
    return int(code), printed.getvalue()


def serve_on_loopback(context, app):
    """Serve an app from another thread until the scenario ends; return its address."""
    portal = start_blocking_portal()
    running_portal = portal.__enter__()
    server = running_portal.wrap_async_context_manager(served(app))
    address = server.__enter__()
    context.add_cleanup(portal.__exit__, None, None, None)
    context.add_cleanup(server.__exit__, None, None, None)
    return address


@when("the command checks {file}")
def step_check(context, file):
    path = str(DEPLOYMENTS / "tsehay.yaml")
    with tempfile.TemporaryDirectory() as directory:
        if file == "a missing file":
            path = f"{directory}/none.yaml"
        elif file in FILES:
            Path(path := f"{directory}/file.yaml").write_bytes(FILES[file])
        context.command = run_command(commands.check, path)


@then('it exits with {code:d}, printing "{text}" on {num_lines:d} lines')
def step_exit(context, code, text, num_lines):
    actual_code, printed = context.command
    assert (actual_code, text in printed) == (code, True), context.command
    assert len(printed.splitlines()) == num_lines, printed


@given("a key-value service on loopback")
def step_service(context):
    context.address = serve_on_loopback(context, KeyValueApp(KeyValueServer(random.Random(1))))


@when("these commands run in turn")
def step_commands(context):
    context.results = []
    for row in context.table:
        name, file, *options = row["command"].split()
        arguments = {key: int(value) for key, value in (option.split("=") for option in options)}
        path = str(DEPLOYMENTS / f"{file}.yaml")
        function = getattr(commands, name)
        result = run_command(function, path, [context.address], **arguments)
        context.results.append((row, result))


@then("every command exits with its code and prints its text, without a traceback")
def step_results(context):
    for row, (code, printed) in context.results:
        assert (str(code), row["text"] in printed) == (row["code"], True), (row, code, printed)
        assert "Traceback" not in printed


@when("the command {command} runs against a port where nothing listens")
def step_no_service(context, command):
    path = str(DEPLOYMENTS / "tsehay.yaml")
    if command == "status":
        context.command = run_command(commands.status, UNUSED_ADDRESS)
    elif command == "plan":
        context.command = run_command(commands.plan, path, [UNUSED_ADDRESS])
    else:
        context.command = run_command(commands.apply, path, [UNUSED_ADDRESS], time_limit_s=0.01)


@given("a node that reports {nodes}")
def step_node(context, nodes):
    def status_of(revision, reason):
        listed = (
            NodeConfigurationStatus("a", "z", 3, ""),
            NodeConfigurationStatus("b", "z", revision, reason),
        )
        return msgspec.json.encode(FleetConfigurationStatus(3, listed, ""))

    good = status_of(3, "")
    first = {
        "all at 3": good,
        "one at 2, then 3": status_of(2, "has not heard of revision 3"),
        "one silent": status_of(None, "no answer: timed out"),
    }[nodes]
    answers = [first, good]

    async def app(scope, receive, send):
        assert scope["type"] == "http" and scope["path"] == STATUS_PATH
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": answers.pop(0)})

    context.address = serve_on_loopback(context, app)


@when("the status command asks it for {wanted}")
def step_status(context, wanted):
    revision = 2 if wanted == "revision 2" else 0
    wait_s = 60.0 if "waiting" in wanted else 0.0
    with patch.object(commands, "STATUS_POLL_S", 0.0):
        context.command = run_command(commands.status, context.address, revision, wait_s)
