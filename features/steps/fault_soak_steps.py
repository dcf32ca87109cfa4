import tempfile
from collections import Counter
from itertools import cycle, islice
from pathlib import Path

import anyio
from behave import given, then, when

from bench.fault_soak.history import (
    ConfigurationAcknowledged,
    NodeEnded,
    NodeStarted,
    Outcome,
    RequestEnded,
    SignalName,
    read_history,
    write_history,
)
from bench.fault_soak.nodes import ROOT
from bench.fault_soak.rules import judge
from bench.fault_soak.run import BOUNDS, Soak, SoakSettings
from bench.fault_soak.schedule import FaultKind, draw_schedule
from bench.fault_soak.traces import internal_errors
from features.support import soak_histories
from features.support.platform_words import with_events

HOUR_S = 3600.0
SOAK_NODES = 4
SOAK_INTERVAL_S = 1.2
MIN_ANSWERED = 100
TRACES = {
    "plain": 'Traceback (most recent call last):\n  File "a.py", line 1\n'
    "ValueError: bad number\nKeyError: not of a trace",
    "grouped": "  | Traceback (most recent call last):\n  |   File x\n"
    "  | TypeError: Missing required argument\n  +----",
    "none": "time=1970-01-01T00:00:00.000Z event=refused kind=ValueError",
}


@when("a sound history of a soak also has {what}")
def step_history(context, what):
    context.history = soak_histories.sound() + soak_histories.ADDED[what]


@then('a stream that ends as {outcome} with "{body}" has the events "{events}"')
def step_events(context, outcome, body, events):
    ended = soak_histories.ended(1.0, "q", Outcome(outcome), body=body.replace(";", "\n"))
    numbers = with_events(ended).event_numbers
    assert ", ".join(map(str, numbers)) == events, numbers


@when("the history is written down and read again")
def step_written(context):
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "history.jsonl"
        write_history(file, context.history)
        read = read_history(file)
    assert read == context.history, read
    context.history = read


def broken(context):
    violations = judge(context.history, BOUNDS)
    return {violation.rule.value for violation in violations}, violations


@then('the soak finds "{rule}" broken, and nothing else')
def step_one_broken(context, rule):
    rules, violations = broken(context)
    assert rules == {rule}, violations


@then('the soak finds "{first}" and "{second}" broken')
def step_two_broken(context, first, second):
    rules, violations = broken(context)
    assert rules == {first, second}, violations


@then("the soak finds nothing broken")
def step_none_broken(context):
    rules, violations = broken(context)
    assert not rules, violations


@then("the schedules of seed {seed:d} are equal, and differ from those of seed {other:d}")
def step_schedules(context, seed, other):
    first, again, differing = (draw_schedule(one, 60.0, 1.0) for one in (seed, seed, other))
    assert first == again
    assert first != differing


@then("eight schedules of an hour hold every kind of fault, and none beyond their end")
def step_every_kind(context):
    schedule = [fault for seed in range(8) for fault in draw_schedule(seed, HOUR_S, 1.0)]
    assert {fault.kind for fault in schedule} == set(FaultKind)
    assert all(fault.at_s + fault.lasts_s <= HOUR_S for fault in schedule)


@when("node processes are soaked for {duration_s:d} s with seed {seed:d}")
def step_soak(context, duration_s, seed):
    settings = SoakSettings(seed, float(duration_s), SOAK_NODES, SOAK_INTERVAL_S)
    context.soak_directory = tempfile.TemporaryDirectory()
    context.add_cleanup(context.soak_directory.cleanup)
    context.soak = Soak(settings, Path(context.soak_directory.name))
    context.outcome = anyio.run(context.soak.run)


@then("the soak shows nothing broken")
def step_soak_sound(context):
    assert not context.outcome.violations, context.outcome.violations


@then("callers were answered, nodes were stopped and configurations followed one another")
def step_soak_did_something(context):
    records = context.outcome.records
    statuses = Counter(one.status for one in records if isinstance(one, RequestEnded))
    assert statuses[200] >= MIN_ANSWERED, statuses
    exits = Counter(one.exit_code for one in records if isinstance(one, NodeEnded))
    assert exits[0] > 0 and exits[-9] > 0, exits
    versions = [one.version for one in records if isinstance(one, ConfigurationAcknowledged)]
    assert len(versions) > 1 and versions == sorted(set(versions)), versions
    signals = {one.signal for one in records if hasattr(one, "signal")}
    assert {SignalName.TERMINATE, SignalName.KILL, SignalName.PAUSE} <= signals, signals


@then("none of its processes runs any more")
def step_processes_ended(context):
    records = context.outcome.records
    num_started = sum(isinstance(one, NodeStarted) for one in records)
    assert num_started >= SOAK_NODES
    running = [process.name for process in context.soak.processes.started if process.is_running]
    assert not running, running


@given('a soak beside the checkout "{folder}"')
def step_soak_beside(context, folder):
    context.settings = SoakSettings(1, 1.0, 2, 1.0, folder)


@then('node {number:d} is started from "{checkouts}"')
def step_started_from(context, number, checkouts):
    starts = cycle(context.settings.checkouts(number))
    names = ["this build" if one == ROOT else str(one) for one in islice(starts, 3)]
    assert names == checkouts.split(", "), names


@when('a node\'s log has the traces "{names}"')
def step_traces(context, names):
    lines = "\n".join(TRACES[name] for name in names.split(", ")).splitlines()
    context.errors = internal_errors(lines)


@then('the internal errors are "{expected}"')
def step_internal_errors(context, expected):
    shown = "; ".join(str(error) for error in context.errors)
    assert shown == expected, shown
