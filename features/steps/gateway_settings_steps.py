"""Steps of `gateway_settings.feature`."""

import tempfile
from pathlib import Path

import anyio
import msgspec
from behave import given, then, when

from features.support.platform_fleet import EventRecorder, Fleet, with_fleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.settings_watch import SettingsWatch
from weirscale_platform.settings import gateway_settings, read_node_file

START = """
node_name = "node-1"
ip = "10.1.0.1"
zone = "hall-a"
internal_ports = [7000, 7009]
[listen]
frontend = "10.1.0.1:8000"
ready = "10.1.0.1:8001"
[platform]
address = "10.0.0.1:7000"
[bounds]
strict_revoke = true
retry_extra = 50
revoke_ms = 5000
version_ms = 8000
lease_ms = 3000
"""


def read_field(settings, field):
    return {
        "retry_extra": settings.retry_budget.extra,
        "revoke_ms": settings.bounds.key_removal_s,
        "version_ms": settings.bounds.weights_s,
        "lease_ms": settings.bounds.lease_s,
    }[field]


def in_force(node, field):
    """Return the value of a setting that the node's components use."""
    return {
        "retry_extra": node.budget._rules.extra,
        "revoke_ms": node.context.admission._key_removal_s,
        "version_ms": node.dispatcher.candidates.weights_grace_s,
        "lease_ms": node.order_fence._life_s,
    }[field]


def invalid_settings(problem):
    return {
        "no TOML": START + "[[[",
        "a field missing": START.replace('zone = "hall-a"', ""),
        "a wrong type": START.replace("retry_extra = 50", 'retry_extra = "many"'),
        "a wrong address": START.replace("10.1.0.1:8000", "nowhere"),
    }[problem]


@given("a running gateway whose settings are read from a file")
def step_file(context):
    folder = tempfile.mkdtemp()
    context.file = Path(folder) / "settings.toml"
    context.file.write_text(START)
    context.log = EventRecorder()


@when('the file\'s "{field}" becomes "{value}" and {signal} is sent')
def step_change(context, field, value, signal):
    lines = [
        f"{field} = {value if value.isdigit() else repr(value)}".replace("'", '"')
        if line.startswith(f"{field} =")
        else line
        for line in START.splitlines()
    ]
    context.content = "\n".join(lines)
    assert context.content != START
    context.signal = signal


@when('the file has the problem "{problem}" and {signal} is sent')
def step_problem(context, problem, signal):
    context.content = None if problem == "no file" else invalid_settings(problem)
    context.signal = signal


@when("the gateway runs for {seconds:g} seconds more")
def step_run(context, seconds):
    fleet = Fleet()

    def read():
        return gateway_settings(read_node_file(context.file))

    async def body():
        node = await fleet.start_node()
        start = read()
        node.apply_settings(start)
        context.start = {field: in_force(node, field) for field in FIELDS}
        watch = SettingsWatch(start, read, node.apply_settings, context.log)
        fleet.tasks.start_soon(watch.run)
        await anyio.sleep(0.05)
        if context.content is None:
            context.file.unlink()
        else:
            context.file.write_text(context.content)
        if context.signal == "a signal":
            watch.signal()
        await anyio.sleep(seconds)
        context.after = {field: in_force(node, field) for field in FIELDS}

    run_in_virtual_time(lambda: with_fleet(fleet, body))


FIELDS = ("retry_extra", "revoke_ms", "version_ms", "lease_ms")


@then('the change of "{field}" is in force')
def step_in_force(context, field):
    changed = {name for name in FIELDS if context.after[name] != context.start[name]}
    assert changed == {field}, (context.start, context.after)
    settings = gateway_settings(read_node_file(context.file))
    assert msgspec.structs.asdict(settings)
    if field == "retry_extra":
        assert context.after[field] == read_field(settings, field)


@then('the log has one event "{event}" with "{value}" in its field "{log_field}"')
def step_log(context, event, value, log_field):
    events = context.log.named(event)
    assert [fields[log_field] for fields in events] == [value], events


@then("the settings in force are those of the start")
def step_unchanged(context):
    assert context.after == context.start


@then('the log has one event for unreadable settings, with "{remedy}"')
def step_unreadable(context, remedy):
    events = context.log.named("settings_unreadable")
    assert len(events) == 1, events
    assert remedy in events[0]["problem"], events
