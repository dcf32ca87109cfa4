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
TRACEBACKS = {
    "request": "time=1 event=request_ended outcome=error causes=internal_error:ValueError",
    "plain": 'Traceback (most recent call last):\n  File "a.py", line 1\n'
    "ValueError: bad number\nKeyError: not of a trace",
    "grouped": "  | Traceback (most recent call last):\n  |   File x\n"
    "  | TypeError: Missing required argument\n  +----",
    "none": "time=1970-01-01T00:00:00.000Z event=refused kind=ValueError",
}


@when("a valid soak history is changed by {change}")
def step_history(context, change):
    context.history = soak_histories.valid_history() + soak_histories.CHANGES[change]


@then('a stream with the outcome {outcome} and the body "{body}" has the event numbers "{events}"')
def step_events(context, outcome, body, events):
    ended = soak_histories.ended(1.0, "q", Outcome(outcome), body=body.replace(";", "\n"))
    numbers = with_events(ended).event_numbers
    assert ", ".join(map(str, numbers)) == events, numbers


@when("the history is written to a file and read again")
def step_write_and_read(context):
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "history.jsonl"
        write_history(file, context.history)
        read = read_history(file)
    assert read == context.history, read
    context.history = read


def judge_history(context):
    """Return the names of the violated rules, and the violations."""
    violations = judge(context.history, BOUNDS)
    return {violation.rule.value for violation in violations}, violations


@then('only the rule "{rule}" is violated')
def step_one_violated(context, rule):
    rules, violations = judge_history(context)
    assert rules == {rule}, violations


@then('only the rules "{first}" and "{second}" are violated')
def step_two_violated(context, first, second):
    rules, violations = judge_history(context)
    assert rules == {first, second}, violations


@then("no rule is violated")
def step_none_violated(context):
    rules, violations = judge_history(context)
    assert not rules, violations


@then("two schedules of seed {seed:d} are equal, and differ from that of seed {other:d}")
def step_schedules(context, seed, other):
    first, again, differing = (
        draw_schedule(each_seed, 60.0, 1.0) for each_seed in (seed, seed, other)
    )
    assert first == again
    assert first != differing


@then("eight schedules of an hour contain every kind of fault, and no fault lasts beyond the hour")
def step_every_kind(context):
    schedule = [fault for seed in range(8) for fault in draw_schedule(seed, HOUR_S, 1.0)]
    assert {fault.kind for fault in schedule} == set(FaultKind)
    assert all(fault.at_s + fault.lasts_s <= HOUR_S for fault in schedule)


@when("a soak test of node processes runs for {duration_s:d} s with seed {seed:d}")
def step_soak(context, duration_s, seed):
    settings = SoakSettings(seed, float(duration_s), SOAK_NODES, SOAK_INTERVAL_S)
    context.soak_directory = tempfile.TemporaryDirectory()
    context.add_cleanup(context.soak_directory.cleanup)
    context.soak = Soak(settings, Path(context.soak_directory.name))
    context.outcome = anyio.run(context.soak.run)


@then("the soak test reports no violations")
def step_soak_no_violations(context):
    assert not context.outcome.violations, context.outcome.violations


@then("callers were answered, nodes were stopped and configurations followed one another")
def step_soak_activity(context):
    records = context.outcome.records
    statuses = Counter(record.status for record in records if isinstance(record, RequestEnded))
    assert statuses[200] >= MIN_ANSWERED, statuses
    exits = Counter(record.exit_code for record in records if isinstance(record, NodeEnded))
    assert exits[0] > 0 and exits[-9] > 0, exits
    versions = [
        record.version for record in records if isinstance(record, ConfigurationAcknowledged)
    ]
    assert len(versions) > 1 and versions == sorted(set(versions)), versions
    signals = {record.signal for record in records if hasattr(record, "signal")}
    assert {SignalName.TERMINATE, SignalName.KILL, SignalName.PAUSE} <= signals, signals


@then("none of its processes is still running")
def step_processes_ended(context):
    records = context.outcome.records
    num_started = sum(isinstance(record, NodeStarted) for record in records)
    assert num_started >= SOAK_NODES
    running = [process.name for process in context.soak.processes.started if process.is_running]
    assert not running, running


@given('a soak test with the other checkout "{folder}"')
def step_other_checkout(context, folder):
    context.settings = SoakSettings(1, 1.0, 2, 1.0, folder)


@then('the starts of node {number:d} use the checkouts "{checkouts}"')
def step_checkouts_of_starts(context, number, checkouts):
    starts = cycle(context.settings.checkouts(number))
    names = ["this build" if path == ROOT else str(path) for path in islice(starts, 3)]
    assert names == checkouts.split(", "), names


@when('a node\'s log contains the tracebacks "{names}"')
def step_tracebacks(context, names):
    lines = "\n".join(TRACEBACKS[name] for name in names.split(", ")).splitlines()
    context.errors = internal_errors(lines)


@then('the internal errors are "{expected}"')
def step_internal_errors(context, expected):
    found = "; ".join(str(error) for error in context.errors)
    assert found == expected, found
