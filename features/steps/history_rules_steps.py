from behave import given, then, when

from features.support.history_cases import history_case
from weirscale.experiments.history.verdict import CHECKERS, count_requests, judge


@given('the recorded history "{name}"')
def step_history(context, name):
    context.history = history_case(name)


@when("every rule is checked on the recorded history")
def step_check(context):
    context.verdict = judge(context.history)


@then('the violated rules are exactly "{broken}"')
def step_broken(context, broken):
    violated_rules = {violation.rule for violation in context.verdict.violations}
    assert violated_rules <= set(CHECKERS)
    assert violated_rules == (set() if broken == "none" else set(broken.split())), context.verdict


@when("the requests of the recorded history are counted")
def step_count(context):
    context.counts = count_requests(context.history)


@then('the history counts are "{counts}"')
def step_counts(context, counts):
    expected = dict(pair.split("=") for pair in counts.split())
    for field in context.counts.__struct_fields__:
        assert getattr(context.counts, field) == int(expected.get(field, 0)), context.counts
