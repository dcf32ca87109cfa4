"""Steps of `gateway_request_limits.feature`."""

import itertools

import anyio
from behave import then, when

from features.steps.gateway_leaving_steps import FAULTS, HEARD_S, MANY_FAULTS, PATHS
from features.steps.gateway_rest_steps import end_and_come_again, start_again
from features.support.platform_fleet import MODEL
from weirscale.gateway.model.identifiers import RunId

CONTACT_S = 3.0
"""From so long after a limit was first stated it has to be kept."""

TOLD_S = 0.5
"""A node counts from so long after an answer told it of the limit."""

WINDOW_S = 4.0
"""Time over which requests are counted."""

LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""What a back end may get in a window: this multiple of its limit, and so many requests more."""

AFTER_OUTAGE_S = 3.0
LOOK_INTERVAL_S = 0.02
"""For how long, and how often, it is looked whom nodes take for issuers after an outage."""

LIMITED_RUN = RunId("lm-1@0")

HUGE = "9" * 400
SERVICE = "lm"


def limits_of(text):
    """Return the header values of a table's cell."""
    return (HUGE,) if text == "four hundred nines" else tuple(text.split(" and "))


def change_limit(play, after_s, name, limits):
    """Have a back end state other limits, or none, some time after the nodes know one another."""

    async def change():
        await anyio.sleep(after_s)
        play.back_ends[name].limits = limits

    play.background.append(change)


@when('after {after_s:g} seconds "{name}" states a limit of "{limit}"')
def step_one(context, after_s, name, limit):
    change_limit(context.play, after_s, name, (limit,))


@when(
    'after {after_s:g} seconds "{name}" and "{other}" state limits of "{limit}" and "{other_limit}"'
)
def step_two(context, after_s, name, limit, other, other_limit):
    change_limit(context.play, after_s, name, (limit,))
    change_limit(context.play, after_s, other, (other_limit,))


@when('"{name}" states a limit of "{limit}" from {from_s:g} to {to_s:g} seconds')
def step_span(context, name, limit, from_s, to_s):
    change_limit(context.play, from_s, name, (limit,))
    change_limit(context.play, to_s, name, ())


@when('"{name}" states a limit of "{first}", and {later_s:g} seconds later of "{then}"')
def step_change(context, name, first, later_s, then):
    change_limit(context.play, 1.0, name, (first,))
    change_limit(context.play, 1.0 + later_s, name, (then,))


@when('"{name}" states the limits "{limits}" from the start')
def step_from_start(context, name, limits):
    context.play.back_ends[name].limits = limits_of(limits)


@when('"{name}" states the limits "{limits}" from the start and soon cannot be reached')
def step_fails(context, name, limits):
    context.play.back_ends[name].limits = limits_of(limits)
    context.play.back_ends[name].faults = ["none"] * 3 + ["connect"] * MANY_FAULTS


@when('all back ends of the service state a limit of "{limit}" from the start')
def step_all(context, limit):
    for back_end in context.play.back_ends.values():
        if back_end.service == SERVICE:
            back_end.limits = (limit,)


@when("all back ends say in a header that is not known what they want")
def step_unknown_header(context):
    for back_end in context.play.back_ends.values():
        back_end.unknown_header = "Server-Wish"


@when("{num:d} callers come at once to a node each {interval_s:g} seconds for {for_s:g} seconds")
def step_at_once(context, num, interval_s, for_s):
    play = context.play

    async def act():
        for _ in range(int(for_s / interval_s)):
            for _ in range(num):
                play.fleet.tasks.start_soon(play.ask_node, play.node_names()[0])
            await anyio.sleep(interval_s)
        await anyio.sleep(1.0)

    play.actions.append(act)


async def until_stated(play, name, limit, node=None, path=None):
    """Ask until a back end has stated a limit; from then on it states none, nor an end of it."""
    back_end = play.back_ends[name]
    back_end.limits = (limit,)
    while not any(limited == name for _, _, limited, _ in play.limits):
        play.fleet.tasks.start_soon(play.ask_node, node or play.node_names()[0], path)
        await anyio.sleep(0.1)


@when('one answer of "{name}" states a limit of "{limit}", "{answer}"')
def step_one_answer(context, name, limit, answer):
    play = context.play
    back_end = play.back_ends[name]

    async def states():
        if answer in FAULTS:
            back_end.faults = [FAULTS[answer]] * MANY_FAULTS
            await until_stated(play, name, limit, path="/s/1" if name.startswith("o-") else None)
            back_end.faults = []
        elif answer == "a stream whose caller leaves":
            await states_to_a_caller_that_leaves(play, name, limit)
        else:
            await states_elsewhere(play, back_end, limit, PATHS[answer])

    play.actions.append(states)


async def states_to_a_caller_that_leaves(play, name, limit):
    """Have the caller go as soon as the head of the answer, and nothing more, is here."""
    play.back_ends[name].limits = (limit,)
    while not play.limits:
        await play.ask_node(play.node_names()[0], leave_after_s=HEARD_S)
        await anyio.sleep(0.1)


async def states_elsewhere(play, back_end, limit, path):
    """Have a back end state it in the answer to another call than a request."""
    back_end.limits = (limit,)
    back_end.limited_path = path
    if path == "/healthz":
        back_end.faults = ["connect"] * 2
    else:
        play.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    while not play.limits:
        await play.ask_node(play.node_names()[0])
        await anyio.sleep(0.05)
    await anyio.sleep(HEARD_S)


async def start_again_without_limit(play, back_end):
    back_end.limits = ()
    await start_again(play, back_end)


AFTERWARDS = {
    "its process starts again under its name": start_again_without_limit,
    "its registration ends and comes again as ready": end_and_come_again,
}


@when('"{name}" states a limit of "{limit}" for {for_s:g} seconds, and then {what}')
def step_then(context, name, limit, for_s, what):
    play = context.play

    async def act():
        await until_stated(play, name, limit)
        await anyio.sleep(for_s)
        await AFTERWARDS[what](play, play.back_ends[name])

    play.actions.append(act)


@when('"{name}" states a limit of "{limit}" to {node} alone')
def step_alone(context, name, limit, node):
    context.play.actions.append(lambda: until_stated(context.play, name, limit, node))


@when('an issuer of permits for "{name}" is killed after {after_s:g} seconds')
def step_kill(context, name, after_s):
    play = context.play

    async def kill():
        await anyio.sleep(after_s)
        node = play.all_nodes()[0]
        run = node.cluster.directory.get(name).run_id
        play.fleet.kill(node.permit_issuers.issuers(run)[0])

    play.background.append(kill)


@when(
    "the store is silent for {seconds:g} seconds, after which all registrations of nodes have ended"
)
def step_outage(context, seconds):
    play = context.play

    async def outage():
        await anyio.sleep(4.0)
        play.fleet.store.is_silent = True
        await anyio.sleep(seconds)
        play.fleet.store.is_silent = False
        play.issuers = []
        play.num_registered = []
        until_s = anyio.current_time() + AFTER_OUTAGE_S
        while anyio.current_time() < until_s:
            for node in play.all_nodes():
                play.issuers.append(frozenset(node.permit_issuers.issuers(LIMITED_RUN)))
                play.num_registered.append(len(node.peers.members()))
            await anyio.sleep(LOOK_INTERVAL_S)

    play.background.append(outage)


def first_stated_s(play, name):
    """Return when a back end first stated a limit."""
    stated = [at_s for at_s, _, limited, _ in play.limits if limited == name]
    assert stated, "it stated no limit"
    return stated[0]


def counted_s(play, name):
    """Return when requests of nodes that had been told of its limit arrived at a back end."""
    told_s = {}
    for at_s, node, limited, _ in play.limits:
        if limited == name and node is not None:
            told_s.setdefault(node, at_s)
    return sorted(
        at_s
        for (node, to), all_s in play.arrived_s.items()
        for at_s in all_s
        if to == name and node in told_s and at_s >= told_s[node] + TOLD_S
    )


def most_in_window(times_s):
    """Return the most of these times that lie in one window."""
    times_s = sorted(times_s)
    return max(
        (sum(0.0 <= one - at_s < WINDOW_S for one in times_s) for at_s in times_s), default=0
    )


def assert_kept(play, name):
    """Check that in no window a back end got more than the highest limit stated of late allows."""
    stated = [(at_s, float(limit)) for at_s, _, limited, limit in play.limits if limited == name]
    first_s = first_stated_s(play, name)
    counted = counted_s(play, name)
    for end_s in [at_s for at_s in counted if at_s >= first_s + CONTACT_S]:
        since_s = end_s - WINDOW_S
        highest = max(limit for at_s, limit in stated if since_s - WINDOW_S <= at_s <= end_s)
        allowed = WINDOW_S * LIMIT_FACTOR * highest + LIMIT_EXTRA
        num = sum(since_s < at_s <= end_s for at_s in counted)
        assert num <= allowed, (name, end_s - first_s, num, allowed)


@then("no limit is exceeded")
def step_kept(context):
    play = context.play.play()
    limited = {name for _, _, name, _ in play.limits}
    assert limited, "no limit was stated"
    for name in sorted(limited):
        assert_kept(play, name)


def num_between(play, name, from_s, to_s):
    """Return how many requests a back end got in a span after it first stated its limit."""
    first_s = first_stated_s(play, name)
    return sum(from_s <= at_s - first_s <= to_s for at_s in play.arrivals_s(name))


@then(
    '"{name}" gets at most {most:d} requests from {from_s:g} to {to_s:g} seconds after it first '
    "stated it"
)
def step_most_between(context, name, most, from_s, to_s):
    num = num_between(context.play.play(), name, from_s, to_s)
    assert num <= most, num


@then(
    '"{name}" gets at least {least:d} requests from {from_s:g} to {to_s:g} seconds after it first '
    "stated it"
)
def step_least_between(context, name, least, from_s, to_s):
    num = num_between(context.play.play(), name, from_s, to_s)
    assert num >= least, num


@then('"{name}" gets at most {most:d} requests in any 4 seconds')
def step_most(context, name, most):
    play = context.play.play()
    assert play.arrivals_s(name), "it got none"
    assert most_in_window(play.arrivals_s(name)) <= most, most_in_window(play.arrivals_s(name))


@then(
    '"{name}" gets at most {most:d} requests in any 4 seconds from {from_s:g} to {to_s:g} seconds '
    "after it first stated it"
)
def step_most_in_span(context, name, most, from_s, to_s):
    play = context.play.play()
    first_s = first_stated_s(play, name)
    within = [at_s for at_s in play.arrivals_s(name) if from_s <= at_s - first_s <= to_s]
    assert most_in_window(within) <= most, most_in_window(within)


@then('"{name}" gets at most {most:d} requests and health checks in any 4 seconds')
def step_most_with_probes(context, name, most):
    play = context.play.play()
    back_end = play.back_ends[name]
    arrived = [at_s for at_s, _, _ in back_end.arrivals] + back_end.probed_s
    assert back_end.probed_s, "it got no health check"
    assert most_in_window(arrived) <= most, most_in_window(arrived)


@then('"{name}" gets at most {most:d} requests and health checks in all')
def step_most_in_all(context, name, most):
    back_end = context.play.play().back_ends[name]
    num = len(back_end.arrivals) + len(back_end.probed_s)
    assert num <= most, num


@then('the same nodes issue permits for "{name}" all the while')
def step_same_issuers(context, name):
    play = context.play.play()
    assert f"{name}@0" == LIMITED_RUN
    assert min(play.num_registered) < len(play.all_nodes()), "no registration ended"
    assert len(set(play.issuers)) == 1, set(play.issuers)


@then('"{name}" gets at most {most:d} request within {within_s:g} seconds after that answer')
def step_few_after(context, name, most, within_s):
    play = context.play.play()
    said_s = first_stated_s(play, name)
    after = [at_s - said_s for at_s in play.arrivals_s(name) if 0.0 < at_s - said_s <= within_s]
    assert len(after) <= most, after
    others = [one for one in play.back_ends if one != name]
    assert any(at_s > said_s for one in others for at_s in play.arrivals_s(one))


def num_at_the_end(play, name, last_s):
    """Return how many requests a back end got in the last seconds in which callers asked."""
    end_s = max(answer.at_s for answer in play.answers)
    return sum(at_s > end_s - last_s for at_s in play.arrivals_s(name))


@then('"{name}" gets at least {least:d} requests in the last {last_s:g} seconds')
def step_least_last(context, name, least, last_s):
    num = num_at_the_end(context.play.play(), name, last_s)
    assert num >= least, num


@then('"{name}" gets at most {most:d} requests in the last {last_s:g} seconds')
def step_most_last(context, name, most, last_s):
    num = num_at_the_end(context.play.play(), name, last_s)
    assert num <= most, num


@then('the log tells "{value}" as an unreadable limit, once')
def step_unreadable(context, value):
    lines = context.play.play().logged("back_end_limit_unreadable")["node-1"]
    assert [line["value"] for line in lines] == ([] if value == "nothing" else [value]), lines


@then("the log tells of no limit")
def step_no_limit(context):
    assert not context.play.play().logged("back_end_limit")["node-1"]


@then('each node logs that the limit of "{name}" has ended')
def step_ended(context, name):
    for node, lines in context.play.play().logged("back_end_limit").items():
        limits = [line["limit_per_s"] for line in lines if line["instance"] == name]
        assert limits[-1] is None and limits[0] is not None, (node, limits)


def answers_from(play, from_s):
    """Return the answers to callers that asked from some seconds after the first one on."""
    first_s = min(answer.at_s for answer in play.answers)
    return [answer for answer in play.answers if answer.at_s >= first_s + from_s]


@then("at least {least:d} of the callers from {from_s:g} seconds on are answered")
def step_share_answered(context, least, from_s):
    answered = [one for one in answers_from(context.play.play(), from_s) if one.status == 200]
    assert len(answered) >= least, len(answered)


@then(
    "the others get 503 within {bound_s:g} seconds, with a time to come back of at most {most_s:g} "
    "seconds"
)
def step_others(context, bound_s, most_s):
    refused = [one for one in context.play.play().answers if one.status != 200]
    assert len(refused) > 10, len(refused)
    for answer in refused:
        assert answer.status == 503 and answer.took_s <= bound_s, answer
        assert 0.0 < float(answer.header("retry-after")) <= most_s, answer.headers


@then("at most 1 of {num:d} refused callers was held for over {bound_s:g} seconds")
def step_one_held(context, num, bound_s):
    refused = [one.took_s for one in context.play.play().answers if one.status != 200]
    held = [took_s for took_s in refused if took_s > bound_s]
    assert len(refused) > 20, len(refused)
    assert len(held) * num <= len(refused), (len(held), len(refused))


@then("most of them are refused within {bound_s:g} seconds")
def step_most_at_once(context, bound_s):
    took_s = sorted(one.took_s for one in context.play.play().answers if one.status != 200)
    assert took_s[len(took_s) // 2] <= bound_s, took_s


@then('these are told as "{cause}" in the log of each node')
def step_cause(context, cause):
    for node, lines in context.play.play().logged("request_ended").items():
        refused = [line for line in lines if line["outcome"] == "refused"]
        assert refused and all(cause in str(line["causes"]) for line in refused), node


@then(
    "all callers from {from_s:g} seconds on are answered, their first event within {first_s:g} "
    "seconds"
)
def step_all_in_time(context, from_s, first_s):
    play = context.play.play()
    answers = answers_from(play, from_s)
    assert len(answers) > 10, len(answers)
    assert {answer.status for answer in answers} == {200}, [one.status for one in answers]
    lines = itertools.chain.from_iterable(play.logged("request_ended").values())
    slow = [line["first_ms"] for line in lines if line["outcome"] == "answered"]
    assert max(sorted(slow)[: len(answers)]) <= first_s * 1000.0, max(slow)


@then("each node logs once that it does not know it")
def step_unknown_logged(context):
    for node, lines in context.play.play().logged("back_end_header_unknown").items():
        assert [line["header"] for line in lines] == ["server-wish"], (node, lines)
