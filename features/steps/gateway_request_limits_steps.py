"""Steps of `gateway_request_limits.feature`."""

import itertools

import anyio
from behave import then, when

from features.steps.gateway_leaving_steps import FAULTS, HEAD_READ_S, MANY_FAULTS, PATHS
from features.steps.gateway_rest_steps import end_and_return, restart
from features.support.platform_fleet import MODEL
from weirscale.gateway.model.identifiers import RunId

ENFORCED_AFTER_S = 3.0
"""Seconds after the first statement of a limit from which on it must not be exceeded."""

NODE_DELAY_S = 0.5
"""Seconds after the first statement of a limit to a node from which on its requests count."""

WINDOW_S = 4.0
"""Seconds over which requests are counted."""

LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""A back end may get this multiple of its limit in a window, plus this number of requests."""

SAMPLING_S = 3.0
SAMPLING_INTERVAL_S = 0.02
"""Duration and interval in seconds of the samples, after an outage, of each node's issuers."""

LIMITED_RUN = RunId("lm-1@0")

HUGE_LIMIT = "9" * 400
SERVICE = "lm"


def parse_limits(text):
    """Return the header values that a table cell stands for."""
    return (HUGE_LIMIT,) if text == "four hundred nines" else tuple(text.split(" and "))


def change_limit(simulation, after_s, name, limits):
    """Let a back end state other limits, or none, some time after the nodes found one another."""

    async def change():
        await anyio.sleep(after_s)
        simulation.back_ends[name].limits = limits

    simulation.background.append(change)


@when('after {after_s:g} seconds "{name}" states a limit of "{limit}"')
def step_states_limit(context, after_s, name, limit):
    change_limit(context.simulation, after_s, name, (limit,))


@when(
    'after {after_s:g} seconds "{name}" and "{other}" state limits of "{limit}" and "{other_limit}"'
)
def step_two_state_limits(context, after_s, name, limit, other, other_limit):
    change_limit(context.simulation, after_s, name, (limit,))
    change_limit(context.simulation, after_s, other, (other_limit,))


@when('"{name}" states a limit of "{limit}" from {from_s:g} to {to_s:g} seconds')
def step_states_limit_in_span(context, name, limit, from_s, to_s):
    change_limit(context.simulation, from_s, name, (limit,))
    change_limit(context.simulation, to_s, name, ())


@when('"{name}" states a limit of "{first}", and {later_s:g} seconds later of "{then}"')
def step_limit_changes(context, name, first, later_s, then):
    change_limit(context.simulation, 1.0, name, (first,))
    change_limit(context.simulation, 1.0 + later_s, name, (then,))


@when('"{name}" states the limits "{limits}" from the start')
def step_from_start(context, name, limits):
    context.simulation.back_ends[name].limits = parse_limits(limits)


@when('"{name}" states the limits "{limits}" from the start and soon refuses connections')
def step_from_start_and_fails(context, name, limits):
    context.simulation.back_ends[name].limits = parse_limits(limits)
    context.simulation.back_ends[name].faults = ["none"] * 3 + ["connect"] * MANY_FAULTS


@when('all back ends of the service state a limit of "{limit}" from the start')
def step_all_state_limit(context, limit):
    for back_end in context.simulation.back_ends.values():
        if back_end.service == SERVICE:
            back_end.limits = (limit,)


@when("all back ends send an unknown header of the same kind")
def step_unknown_header(context):
    for back_end in context.simulation.back_ends.values():
        back_end.unknown_header = "Server-Wish"


@when(
    "{num:d} callers arrive together at one node every {interval_s:g} seconds for {for_s:g} seconds"
)
def step_arrive_together(context, num, interval_s, for_s):
    simulation = context.simulation

    async def act():
        for _ in range(int(for_s / interval_s)):
            for _ in range(num):
                simulation.fleet.tasks.start_soon(
                    simulation.send_request, simulation.node_names()[0]
                )
            await anyio.sleep(interval_s)
        await anyio.sleep(1.0)

    simulation.actions.append(act)


async def send_until_stated(simulation, name, limit, node=None, path=None):
    """Send requests until a back end has stated a limit. Its later answers state it as well."""
    back_end = simulation.back_ends[name]
    back_end.limits = (limit,)
    while not any(limited == name for _, _, limited, _ in simulation.limit_statements):
        simulation.fleet.tasks.start_soon(
            simulation.send_request, node or simulation.node_names()[0], path
        )
        await anyio.sleep(0.1)


@when('one answer of "{name}", "{answer}", states a limit of "{limit}"')
def step_in_one_answer(context, name, limit, answer):
    simulation = context.simulation
    back_end = simulation.back_ends[name]

    async def make_statement():
        if answer in FAULTS:
            back_end.faults = [FAULTS[answer]] * MANY_FAULTS
            await send_until_stated(
                simulation, name, limit, path="/s/1" if name.startswith("o-") else None
            )
            back_end.faults = []
        elif answer == "a stream whose caller disconnects":
            await state_to_disconnecting_caller(simulation, name, limit)
        else:
            await state_in_other_answer(simulation, back_end, limit, PATHS[answer])

    simulation.actions.append(make_statement)


async def state_to_disconnecting_caller(simulation, name, limit):
    """Send requests whose callers disconnect as soon as the head of the answer has arrived."""
    simulation.back_ends[name].limits = (limit,)
    while not simulation.limit_statements:
        await simulation.send_request(simulation.node_names()[0], leave_after_s=HEAD_READ_S)
        await anyio.sleep(0.1)


async def state_in_other_answer(simulation, back_end, limit, path):
    """Let a back end state the limit in the answer to a call that is not a request."""
    back_end.limits = (limit,)
    back_end.limited_path = path
    if path == "/healthz":
        back_end.faults = ["connect"] * 2
    else:
        simulation.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    while not simulation.limit_statements:
        await simulation.send_request(simulation.node_names()[0])
        await anyio.sleep(0.05)
    await anyio.sleep(HEAD_READ_S)


async def restart_without_limit(simulation, back_end):
    back_end.limits = ()
    await restart(simulation, back_end)


EVENTS = {
    "its process restarts under the same name": restart_without_limit,
    "its registration ends and returns as ready": end_and_return,
}


@when('"{name}" states a limit of "{limit}" for {for_s:g} seconds, and then {event}')
def step_states_limit_and_then(context, name, limit, for_s, event):
    simulation = context.simulation

    async def act():
        await send_until_stated(simulation, name, limit)
        await anyio.sleep(for_s)
        await EVENTS[event](simulation, simulation.back_ends[name])

    simulation.actions.append(act)


@when('"{name}" states a limit of "{limit}", at first only to {node}')
def step_to_one_node(context, name, limit, node):
    context.simulation.actions.append(
        lambda: send_until_stated(context.simulation, name, limit, node)
    )


@when('an issuer of permits for "{name}" is killed after {after_s:g} seconds')
def step_kill_issuer(context, name, after_s):
    simulation = context.simulation

    async def kill():
        await anyio.sleep(after_s)
        node = simulation.all_nodes()[0]
        run = node.cluster.directory.get(name).run_id
        simulation.fleet.kill(node.permit_issuers.issuers(run)[0])

    simulation.background.append(kill)


@when(
    "the store does not respond for {seconds:g} seconds, until all registrations of nodes have "
    "ended"
)
def step_outage(context, seconds):
    simulation = context.simulation

    async def outage():
        await anyio.sleep(4.0)
        simulation.fleet.store.is_silent = True
        await anyio.sleep(seconds)
        simulation.fleet.store.is_silent = False
        simulation.issuers = []
        simulation.num_registered = []
        until_s = anyio.current_time() + SAMPLING_S
        while anyio.current_time() < until_s:
            for node in simulation.all_nodes():
                simulation.issuers.append(frozenset(node.permit_issuers.issuers(LIMITED_RUN)))
                simulation.num_registered.append(len(node.peers.members()))
            await anyio.sleep(SAMPLING_INTERVAL_S)

    simulation.background.append(outage)


def first_stated_s(simulation, name):
    """Return the time of a back end's first statement of a limit."""
    stated = [at_s for at_s, _, limited, _ in simulation.limit_statements if limited == name]
    assert stated, "the back end stated no limit"
    return stated[0]


def counted_arrivals_s(simulation, name):
    """Return when requests arrived from nodes to which the back end had stated its limit."""
    first_statement_s = {}
    for at_s, node, limited, _ in simulation.limit_statements:
        if limited == name and node is not None:
            first_statement_s.setdefault(node, at_s)
    return sorted(
        at_s
        for (node, back_end), times_s in simulation.arrived_s.items()
        for at_s in times_s
        if back_end == name
        and node in first_statement_s
        and at_s >= first_statement_s[node] + NODE_DELAY_S
    )


def max_in_window(times_s):
    """Return the maximum number of these times in one window."""
    times_s = sorted(times_s)
    return max(
        (sum(0.0 <= other_s - at_s < WINDOW_S for other_s in times_s) for at_s in times_s),
        default=0,
    )


def assert_limit_kept(simulation, name):
    """Check that no window has more requests than the highest recently stated limit allows."""
    stated = [
        (at_s, float(limit))
        for at_s, _, limited, limit in simulation.limit_statements
        if limited == name
    ]
    first_s = first_stated_s(simulation, name)
    counted = counted_arrivals_s(simulation, name)
    for end_s in [at_s for at_s in counted if at_s >= first_s + ENFORCED_AFTER_S]:
        since_s = end_s - WINDOW_S
        highest = max(limit for at_s, limit in stated if since_s - WINDOW_S <= at_s <= end_s)
        allowed = WINDOW_S * LIMIT_FACTOR * highest + LIMIT_EXTRA
        num = sum(since_s < at_s <= end_s for at_s in counted)
        assert num <= allowed, (name, end_s - first_s, num, allowed)


@then("no limit is exceeded")
def step_no_limit_exceeded(context):
    simulation = context.simulation.play()
    limited = {name for _, _, name, _ in simulation.limit_statements}
    assert limited, "no limit was stated"
    for name in sorted(limited):
        assert_limit_kept(simulation, name)


def num_between(simulation, name, from_s, to_s):
    """Return the number of requests in a span that is counted from the first statement."""
    first_s = first_stated_s(simulation, name)
    return sum(from_s <= at_s - first_s <= to_s for at_s in simulation.arrivals_s(name))


@then(
    '"{name}" gets at most {most:d} requests from {from_s:g} to {to_s:g} seconds after its first '
    "statement"
)
def step_most_between(context, name, most, from_s, to_s):
    num = num_between(context.simulation.play(), name, from_s, to_s)
    assert num <= most, num


@then(
    '"{name}" gets at least {least:d} requests from {from_s:g} to {to_s:g} seconds after its first '
    "statement"
)
def step_least_between(context, name, least, from_s, to_s):
    num = num_between(context.simulation.play(), name, from_s, to_s)
    assert num >= least, num


@then('"{name}" gets at most {most:d} requests in any 4 seconds')
def step_most(context, name, most):
    simulation = context.simulation.play()
    assert simulation.arrivals_s(name), "the back end got no request"
    assert max_in_window(simulation.arrivals_s(name)) <= most, max_in_window(
        simulation.arrivals_s(name)
    )


@then(
    '"{name}" gets at most {most:d} requests in any 4 seconds from {from_s:g} to {to_s:g} seconds '
    "after its first statement"
)
def step_most_in_span(context, name, most, from_s, to_s):
    simulation = context.simulation.play()
    first_s = first_stated_s(simulation, name)
    within = [at_s for at_s in simulation.arrivals_s(name) if from_s <= at_s - first_s <= to_s]
    assert max_in_window(within) <= most, max_in_window(within)


@then('"{name}" gets at most {most:d} requests and health checks in any 4 seconds')
def step_most_with_probes(context, name, most):
    simulation = context.simulation.play()
    back_end = simulation.back_ends[name]
    arrived = [at_s for at_s, _, _ in back_end.arrivals] + back_end.probed_s
    assert back_end.probed_s, "the back end got no health check"
    assert max_in_window(arrived) <= most, max_in_window(arrived)


@then('"{name}" gets at most {most:d} requests and health checks in all')
def step_most_in_all(context, name, most):
    back_end = context.simulation.play().back_ends[name]
    num = len(back_end.arrivals) + len(back_end.probed_s)
    assert num <= most, num


@then('the same nodes issue permits for "{name}" throughout')
def step_same_issuers(context, name):
    simulation = context.simulation.play()
    assert f"{name}@0" == LIMITED_RUN
    assert min(simulation.num_registered) < len(simulation.all_nodes()), "no registration ended"
    assert len(set(simulation.issuers)) == 1, set(simulation.issuers)


@then('"{name}" gets at most {most:d} request within {within_s:g} seconds after that answer')
def step_few_after(context, name, most, within_s):
    simulation = context.simulation.play()
    stated_s = first_stated_s(simulation, name)
    after = [
        at_s - stated_s for at_s in simulation.arrivals_s(name) if 0.0 < at_s - stated_s <= within_s
    ]
    assert len(after) <= most, after
    others = [other for other in simulation.back_ends if other != name]
    assert any(at_s > stated_s for other in others for at_s in simulation.arrivals_s(other))


def num_at_the_end(simulation, name, last_s):
    """Return the number of requests in the last seconds before the last caller's request."""
    end_s = max(answer.at_s for answer in simulation.answers)
    return sum(at_s > end_s - last_s for at_s in simulation.arrivals_s(name))


@then('"{name}" gets at least {least:d} requests in the last {last_s:g} seconds')
def step_least_last(context, name, least, last_s):
    num = num_at_the_end(context.simulation.play(), name, last_s)
    assert num >= least, num


@then('"{name}" gets at most {most:d} requests in the last {last_s:g} seconds')
def step_most_last(context, name, most, last_s):
    num = num_at_the_end(context.simulation.play(), name, last_s)
    assert num <= most, num


@then('the log reports "{value}" as an unreadable limit, once')
def step_unreadable(context, value):
    lines = context.simulation.play().logged("back_end_limit_unreadable")["node-1"]
    assert [line["value"] for line in lines] == ([] if value == "nothing" else [value]), lines


@then("the log reports no limit")
def step_no_limit(context):
    assert not context.simulation.play().logged("back_end_limit")["node-1"]


@then('each node logs that the limit of "{name}" has ended')
def step_ended(context, name):
    for node, lines in context.simulation.play().logged("back_end_limit").items():
        limits = [line["limit_per_s"] for line in lines if line["instance"] == name]
        assert limits[-1] is None and limits[0] is not None, (node, limits)


def answers_from(simulation, from_s):
    """Return the answers to callers that arrived at least some seconds after the first one."""
    first_s = min(answer.at_s for answer in simulation.answers)
    return [answer for answer in simulation.answers if answer.at_s >= first_s + from_s]


@then("at least {least:d} of the callers from {from_s:g} seconds on are answered")
def step_share_answered(context, least, from_s):
    answered = [
        answer for answer in answers_from(context.simulation.play(), from_s) if answer.status == 200
    ]
    assert len(answered) >= least, len(answered)


@then(
    "the others get 503 within {bound_s:g} seconds, with a Retry-After of at most {most_s:g} "
    "seconds"
)
def step_others(context, bound_s, most_s):
    refused = [answer for answer in context.simulation.play().answers if answer.status != 200]
    assert len(refused) > 10, len(refused)
    for answer in refused:
        assert answer.status == 503 and answer.took_s <= bound_s, answer
        assert 0.0 < float(answer.header("retry-after")) <= most_s, answer.headers


@then("at most 1 of {num:d} refused callers waited for more than {bound_s:g} seconds")
def step_one_waited(context, num, bound_s):
    refused = [
        answer.took_s for answer in context.simulation.play().answers if answer.status != 200
    ]
    waited = [took_s for took_s in refused if took_s > bound_s]
    assert len(refused) > 20, len(refused)
    assert len(waited) * num <= len(refused), (len(waited), len(refused))


@then("the median refusal takes at most {bound_s:g} seconds")
def step_median_refusal(context, bound_s):
    took_s = sorted(
        answer.took_s for answer in context.simulation.play().answers if answer.status != 200
    )
    assert took_s[len(took_s) // 2] <= bound_s, took_s


@then('the log of each node gives "{cause}" as the cause of these refusals')
def step_cause(context, cause):
    for node, lines in context.simulation.play().logged("request_ended").items():
        refused = [line for line in lines if line["outcome"] == "refused"]
        assert refused and all(cause in str(line["causes"]) for line in refused), node


@then(
    "all callers from {from_s:g} seconds on are answered, with the first event within {first_s:g} "
    "seconds"
)
def step_all_in_time(context, from_s, first_s):
    simulation = context.simulation.play()
    answers = answers_from(simulation, from_s)
    assert len(answers) > 10, len(answers)
    assert {answer.status for answer in answers} == {200}, [answer.status for answer in answers]
    lines = itertools.chain.from_iterable(simulation.logged("request_ended").values())
    first_ms = [line["first_ms"] for line in lines if line["outcome"] == "answered"]
    assert max(sorted(first_ms)[: len(answers)]) <= first_s * 1000.0, max(first_ms)


@then("each node logs this header once as unknown")
def step_unknown_logged(context):
    for node, lines in context.simulation.play().logged("back_end_header_unknown").items():
        assert [line["header"] for line in lines] == ["server-wish"], (node, lines)
