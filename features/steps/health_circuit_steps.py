from collections import namedtuple
from random import Random

from behave import given, then, when

from weirscale.domain.health import circuit as circuits
from weirscale.domain.health import leaving as leavings
from weirscale.domain.health.pool import admission_weights
from weirscale.domain.health.rules import HealthRules

RULES = HealthRules()
EVENT_INTERVAL_S = 0.1
Member = namedtuple("Member", "circuit leaving")


class CircuitRun:
    """A circuit with its clock and random source, to which events are applied."""

    def __init__(self):
        self.circuit = circuits.HEALTHY
        self.now_s = 1000.0
        self.random = Random(7)

    def apply(self, event):
        if event.startswith("+"):
            self.now_s += float(event[1:])
            return
        self.now_s += EVENT_INTERVAL_S
        before, now_s, random = self.circuit, self.now_s, self.random
        self.circuit = {
            "S": lambda: circuits.after_success(before, RULES, now_s),
            "F": lambda: circuits.after_failure(before, RULES, now_s, random, "broken"),
            "T": lambda: circuits.after_failure(before, RULES, now_s, random, "late", False),
            "P": lambda: circuits.after_probe_failure(before, RULES, now_s, random, "down"),
            "p": lambda: circuits.after_probe_success(before, now_s),
            "W": lambda: circuits.after_wrong_answer(before, RULES, now_s, random, "crossed"),
            "R": lambda: circuits.after_restart(before, RULES, now_s, random),
        }[event]()

    def open_repeatedly(self, times):
        for _ in range(times):
            self.now_s = max(self.now_s, self.circuit.open_until_s)
            for event in ("F", "F", "F") if not self.circuit.is_open else ("F",):
                self.apply(event)


@given("a healthy circuit")
def step_healthy(context):
    context.run = CircuitRun()


@when("the circuit goes through {events}")
def step_events(context, events):
    for event in events.split():
        context.run.apply(event)


@then("the circuit is {state}")
def step_state(context, state):
    actual = circuits.state_at(context.run.circuit, context.run.now_s)
    assert actual.value == state, context.run.circuit


@given("a circuit that has opened {times:d} times in a row")
def step_opened(context, times):
    context.run = CircuitRun()
    context.run.open_repeatedly(times)


@given(
    "a circuit that has opened {times:d} times in a row and was then healthy for {healthy:d} seconds"
)
def step_opened_then_healthy(context, times, healthy):
    step_opened(context, times)
    run = context.run
    run.now_s = run.circuit.open_until_s
    run.apply("S")
    run.now_s += healthy


@then("the last opening lasts between {shortest:g} and {longest:g} seconds")
def step_opening_length(context, shortest, longest):
    circuit = context.run.circuit
    assert circuit.is_open
    length_s = circuit.open_until_s - circuit.opened_at_s
    assert shortest - 1e-6 <= length_s <= longest + 1e-6, length_s
    assert length_s not in (shortest, longest)


@then("the circuit's share of work is {weight:g}")
def step_share(context, weight):
    actual = circuits.admission_weight(context.run.circuit, RULES, context.run.now_s)
    assert abs(actual - weight) < 1e-6, actual


@given(
    "a pool of {members:d} back ends of which {open_count:d} are open, {quarantined:d} quarantined"
    " and {leaving:d} leaving"
)
def step_pool(context, members, open_count, quarantined, leaving):
    staying = members - open_count - quarantined - leaving
    context.now_s = 0.0
    context.members = (
        [Member(open_circuit(50.0 + index), leavings.STAYING) for index in range(open_count)]
        + [Member(open_circuit(10.0, True), leavings.STAYING) for _ in range(quarantined)]
        + [Member(circuits.HEALTHY, leavings.Leaving(is_listed=True)) for _ in range(leaving)]
        + [Member(circuits.HEALTHY, leavings.STAYING) for _ in range(staying)]
    )


def open_circuit(until_s, is_quarantined=False):
    return circuits.Circuit(is_open=True, is_quarantined=is_quarantined, open_until_s=until_s)


@then("{working:d} back ends get their full share of work and {readmitted:d} the smallest share")
def step_pool_weights(context, working, readmitted):
    context.weights = admission_weights(context.members, RULES, context.now_s)
    counts = (context.weights.count(1.0), context.weights.count(RULES.min_weight))
    assert counts == (working, readmitted), context.weights
    assert sum(counts) + context.weights.count(0.0) == len(context.members)


@then("no leaving back end gets work, and no quarantined one while an open one gets none")
def step_pool_order(context):
    pairs = list(zip(context.members, context.weights, strict=True))
    assert all(weight == 0.0 for member, weight in pairs if member.leaving.is_leaving_at(0.0))
    held_open = [
        m for m, w in pairs if m.circuit.is_open and not m.circuit.is_quarantined and not w
    ]
    in_quarantine = [m for m, w in pairs if m.circuit.is_quarantined and w]
    assert not (held_open and in_quarantine)


@given("a back end with the known run 1")
def step_run_known(context):
    context.leaving, context.known_run, context.now_s = leavings.STAYING, 1, 100.0


@when("{events} are received")
def step_received_events(context, events):
    for event in events.split(", "):
        kind, _, number = event.partition(" ")
        value = int(number or 0)
        if kind in ("report", "refuse"):
            source = leavings.LeavingSource.LOAD_REPORT
            context.leaving = leavings.after_own_statement(context.leaving, source, value)
        elif kind in ("list", "unlist"):
            context.leaving = leavings.after_machine_list(
                context.leaving, kind == "list", context.known_run, context.now_s
            )
        elif kind == "run":
            context.known_run = value
            context.leaving = leavings.after_incarnation(context.leaving, value)
        else:
            assert kind == "wait", kind
            context.now_s += value


@then("the back end is {state:w}")
def step_leaving_state(context, state):
    actual = "leaving" if context.leaving.is_leaving_at(context.now_s) else "staying"
    assert actual == state, context.leaving
