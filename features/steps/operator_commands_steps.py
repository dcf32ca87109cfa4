import contextlib
import io
import sys
from types import SimpleNamespace

import anyio
from behave import given, then, when

from weirscale.cli.main import main
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.messages.explain import DecisionRecord
from weirscale.messages.placement import PlacementStatusReply
from weirscale.node.interfaces import Peer, PeerState
from weirscale.node.operators.app import OperatorApp

OWN_ID = NodeId("node-1", 1)


@when('weirscale is called with "{arguments}"')
def step_call(context, arguments):
    output, errors = io.StringIO(), io.StringIO()
    original = sys.argv
    sys.argv = ["weirscale", *arguments.split()]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            main()
    except SystemExit as exit_request:
        context.exit_code = exit_request.code
    finally:
        sys.argv = original
    context.output, context.errors = output.getvalue(), errors.getvalue()


@then('it exits with {code:d} after one line about "{about}"')
def step_one_line(context, code, about):
    assert context.exit_code == code, (context.exit_code, context.errors)
    assert about in context.errors, context.errors
    assert context.errors.count("\n") == 1, context.errors


@then("it exits with 0 and prints the commands")
def step_help(context):
    assert context.exit_code == 0
    for command in ("node", "apply", "explain", "drain"):
        assert command in context.output, context.output


@given('the operator application of a node that routed request "{request_id}"')
def step_application(context, request_id):
    peers = (Peer(OWN_ID, NodeAddress("127.0.0.1", 7100), "bole-hall", PeerState.ALIVE),)
    record = DecisionRecord(request_id, "node-1", "a-school", "qalam", ())

    async def explain(queried_id):
        return record if queried_id == request_id else None

    async def of_planner():
        return PlacementStatusReply("node-2", True, ())

    context.drains = []
    context.app = OperatorApp(
        None,
        SimpleNamespace(self_id=OWN_ID, peers=lambda: peers),
        SimpleNamespace(explain=explain),
        SimpleNamespace(of_planner=of_planner),
        lambda: context.drains.append(True),
    )


@when("an operator sends {method} {target}")
def step_send(context, method, target):
    path, _, query = target.partition("?")
    scope = {"type": "http", "method": method, "path": path, "query_string": query.encode()}
    sent = []

    async def send(message):
        sent.append(message)

    async def call():
        await context.app(scope, None, send)

    anyio.run(call)
    context.status = sent[0]["status"]
    context.body = sent[1]["body"].decode()


@then('the operator gets status {status:d} and "{text}"')
def step_answer(context, status, text):
    assert context.status == status, (context.status, context.body)
    assert text in context.body, context.body


@then("the planned stop has begun {count:d} times")
def step_draining(context, count):
    assert context.drains == [True] * count, context.drains
