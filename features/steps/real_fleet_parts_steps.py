import itertools
import tempfile
from pathlib import Path

import msgspec
from behave import then, when
from result import Err, Ok

from bench.real_fleet.collect import configurations_taken, internal_errors
from bench.real_fleet.experiment import PRESETS_DIRECTORY, load, single_fault
from bench.real_fleet.faults import lease_holders
from bench.real_fleet.layout import make_layout, node_settings, stand_in_settings
from bench.real_fleet.operator_commands import parse_apply
from weirscale.cli.stand_in import StandInFile
from weirscale.domain.configuration.parse import check_deployment
from weirscale.node.settings import load_settings

TRACES = {
    "plain": 'Traceback (most recent call last):\n  File "a.py", line 1\n'
    "ValueError: bad number\nKeyError: not of a trace",
    "grouped": "  | Traceback (most recent call last):\n  |   File x\n"
    "  | TypeError: Missing required argument\n  +----",
    "none": "time=1970-01-01T00:00:00.000Z event=refused kind=ValueError",
}


@when('real processes of "{name}" are laid out with {per_zone:d} nodes a zone')
def step_lay_out(context, name, per_zone):
    declared = load(name).ok_value[1]
    ports = itertools.count(20_000)
    context.layout = make_layout(declared, per_zone, lambda: next(ports))


@then("the layout has {nodes:d} nodes, {engines:d} engines and {services:d} service back ends")
def step_layout_counts(context, nodes, engines, services):
    layout = context.layout
    counts = (len(layout.nodes), len(layout.engines), len(layout.services))
    assert counts == (nodes, engines, services), counts


@then("no port is given twice")
def step_ports_differ(context):
    layout = context.layout
    ports = [
        port
        for node in layout.nodes
        for port in (node.caller_port, node.peer_port, node.operator_port)
    ]
    ports += [port for place in layout.stand_ins for port in (place.port, place.admin_port) if port]
    assert len(set(ports)) == len(ports)


@then("the laid out deployment passes the checks of deployment files")
def step_deployment_is_right(context):
    deployment = context.layout.deployment
    checked = check_deployment(msgspec.json.encode(deployment).decode())
    assert checked == Ok(deployment), checked


@then("its settings files are what nodes and stand-ins take")
def step_settings_are_right(context):
    layout = context.layout
    for node in layout.nodes:
        loaded = load_settings(None, node_settings(layout, node))
        assert isinstance(loaded, Ok), loaded
        assert loaded.ok_value.name == node.name
    for place in layout.stand_ins:
        file = msgspec.convert(stand_in_settings(place), StandInFile)
        assert file.port == place.port
        assert place.settings is None or place.settings in (file.engine, file.service)


@when('the real run "{preset}" is narrowed to "{fault}"')
def step_narrow(context, preset, fault):
    context.experiment = single_fault(load(preset).ok_value[0], fault)


@then('its timeline is "{timeline}" and callers send for {duration_s:d} s')
def step_timeline(context, timeline, duration_s):
    faults = context.experiment.faults
    shown = [f"{one.kind.value} at {one.at_s:g} for {one.lasts_s:g}" for one in faults]
    assert (", ".join(shown) or "none") == timeline, shown
    assert context.experiment.duration_s == duration_s, context.experiment.duration_s


@then('the real run "{preset}" cannot be narrowed to "{fault}"')
def step_not_narrowed(context, preset, fault):
    assert single_fault(load(preset).ok_value[0], fault) is None


@when('a real run file has "{field}" set to "{value}"')
def step_wrong_file(context, field, value):
    shipped = load("tsehay").ok_value[0]
    deployment = str(PRESETS_DIRECTORY / shipped.deployment)
    fields = {"format": "1", "name": "x", "deployment": deployment, "workload": "yearbook"}
    fields[field] = f"[{value}]" if field == "faults" else value
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "run.yaml"
        file.write_text("".join(f"{name}: {text}\n" for name, text in fields.items()))
        context.loaded = load(str(file))


@then('the real run file is refused with "{words}"')
def step_file_refused(context, words):
    assert isinstance(context.loaded, Err), context.loaded
    assert words in context.loaded.err_value, context.loaded.err_value


@when('apply ends with {code:d} and prints "{output}"')
def step_apply_output(context, code, output):
    context.result = parse_apply(code, output + "\n")


@then('the apply result has revision "{revision}" and was in place "{in_place}"')
def step_apply_result(context, revision, in_place):
    expected = None if revision == "none" else int(revision)
    assert context.result.revision == expected, context.result
    assert context.result.was_in_place == (in_place == "yes")


@when('the log of node "{node}" has these lines with a clock offset of {offset_s:d} s')
def step_node_log(context, node, offset_s):
    lines = [row["line"] for row in context.table]
    context.taken = configurations_taken(node, lines, offset_s)


@then('the revisions taken are "{expected}"')
def step_revisions_taken(context, expected):
    shown = ", ".join(f"{one.revision} at {one.at_s:g}" for one in context.taken)
    assert shown == expected, shown


@when('a node\'s log has the traces "{names}"')
def step_traces(context, names):
    lines = "\n".join(TRACES[name] for name in names.split(", ")).splitlines()
    context.errors = internal_errors(lines)


@then('the internal errors are "{expected}"')
def step_internal_errors(context, expected):
    shown = "; ".join(str(error) for error in context.errors)
    assert shown == expected, shown


@when("the store answers with these keys")
def step_stored_keys(context):
    keys = [{"value": row["value"].encode(), "lease": row["lease"]} for row in context.table]
    for key in keys:
        if key["lease"] == "0":
            del key["lease"]
    context.stored = msgspec.json.encode({"kvs": keys})


@then('of the nodes "{names}" the lease holders are "{expected}"')
def step_lease_holders(context, names, expected):
    holders = lease_holders(context.stored, names.split(", "))
    assert ", ".join(holders) == expected, holders
