"""Steps of `request_limit_rules.feature`."""

from behave import given, then, when

from features.support.permit_fleet import NoLog, PermitFleet
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.request_limits.stated_limits import LimitStatement, StatedLimits

RUN = RunId("lm-1@0")
NOW_S = 100.0


@given("a node that received a limit of {limit:g}, stated {ago_s:g} seconds ago")
def step_has_limit(context, limit, ago_s):
    context.limits = StatedLimits(NoLog())
    context.limits.record_limit(RUN, limit, NOW_S - ago_s)


@given("a node that received no limit")
def step_has_no_limit(context):
    context.limits = StatedLimits(NoLog())


@when("an answer states {limit:g}")
def step_answer_states(context, limit):
    context.limits.record_limit(RUN, limit, NOW_S)


@when("a success without a limit, requested {ago_s:g} seconds ago")
def step_success_without_limit(context, ago_s):
    context.limits.record_no_limit(RUN, NOW_S - ago_s, NOW_S)


@when("a peer reports a limit of {limit}, stated {ago_s:g} seconds ago")
def step_peer_reports(context, limit, ago_s):
    limit_per_s = None if limit == "none" else float(limit)
    context.limits.record_peer_statement(RUN, LimitStatement(limit_per_s, NOW_S - ago_s))


@when("{num:d} runs state limits")
def step_many_runs(context, num):
    context.runs = [RunId(f"lm-{number}@0") for number in range(num)]
    for run in context.runs:
        context.limits.record_limit(run, 1.0, NOW_S)


@then("the limit is {limit}")
def step_limit(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.limits.limit_per_s(RUN) == expected, context.limits.limit_per_s(RUN)


@then("no statement is stored")
def step_nothing_stored(context):
    assert context.limits.statement(RUN) is None


@then("the latest {num:d} statements are stored")
def step_latest_stored(context, num):
    stored = [run for run in context.runs if context.limits.statement(run) is not None]
    assert stored == context.runs[-num:], len(stored)


@given("{num:d} nodes that enforce a limit of {limit:g}, without a network")
def step_fleet(context, num, limit):
    context.fleet = PermitFleet(num, limit)


@when("callers send {asked_per_s:g} requests a second for {seconds:d} seconds, {where}")
def step_send(context, seconds, asked_per_s, where):
    context.seconds = seconds
    context.asked_per_s = asked_per_s
    context.fleet.run(seconds, asked_per_s, at_one_node=where == "at one node")


@when("callers send no requests for {seconds:d} seconds")
def step_no_requests(context, seconds):
    # The first requests create the buckets.
    context.fleet.run(1.0, 32.0)
    context.fleet.run(seconds, 0.0)


@when("all nodes fetch permits for {seconds:d} seconds and do not use them")
def step_unused(context, seconds):
    context.fleet.run(seconds, 640.0, uses_permits=False)


@when("all nodes send as many requests as they may")
def step_all_at_once(context):
    context.fleet.send_all()


@when(
    "a third of the messages is lost, and callers send {asked_per_s:g} requests a second for "
    "{seconds:d} seconds"
)
def step_lossy(context, asked_per_s, seconds):
    context.fleet.loss = 1.0 / 3.0
    context.fleet.run(seconds, asked_per_s)


@then("in any 4 seconds at most {most:d} requests are sent")
def step_bound(context, most):
    assert context.fleet.sent_s, "nothing was sent"
    assert context.fleet.most_in_window() <= most, context.fleet.most_in_window()


@then(
    "from {from_s:d} seconds on at least {share:g} of the limit, or of a lower request rate, is "
    "sent"
)
def step_used(context, from_s, share):
    sent = sum(at_s >= from_s for at_s in context.fleet.sent_s) / (context.seconds - from_s)
    allowed = min(context.fleet.limit_per_s, context.asked_per_s)
    assert sent >= share * allowed, (sent, allowed)
