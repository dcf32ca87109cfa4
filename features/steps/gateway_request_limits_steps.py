"""Steps of `gateway_request_limits.feature`."""

import anyio
from behave import then, when

CONTACT_S = 3.0
"""From so long after a limit was first stated it has to be kept."""

TOLD_S = 0.5
"""A node counts from so long after an answer told it of the limit."""

WINDOW_S = 4.0
"""Time over which requests are counted."""

LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""What a back end may get in a window: this multiple of its limit, and so many requests more."""


def change_limits(play, after_s, limits):
    """Have back ends state limits, by their names, from some time on; none for an empty one."""

    async def change():
        await anyio.sleep(after_s)
        for name, limit in limits.items():
            play.back_ends[name].limits = (limit,) if limit else ()

    play.background.append(change)


@when(
    'after {after_s:g} seconds "{name}" states a limit of "{limit}" and "{other}" of "{other_limit}"'
)
def step_two(context, after_s, name, limit, other, other_limit):
    change_limits(context.play, after_s, {name: limit, other: other_limit})


def counted_s(play, name):
    """Return when requests of nodes that had been told of its limit arrived at a back end."""
    told_s = {}
    for at_s, node, limited, _ in play.limits:
        if limited == name:
            told_s.setdefault(node, at_s)
    return sorted(
        at_s
        for (node, to), all_s in play.arrived_s.items()
        for at_s in all_s
        if to == name and node in told_s and at_s >= told_s[node] + TOLD_S
    )


def assert_kept(play, name):
    """Check that in no window a back end got more than the highest limit stated of late allows."""
    stated = [(at_s, float(limit)) for at_s, _, limited, limit in play.limits if limited == name]
    assert stated, "it stated no limit"
    first_s = stated[0][0]
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
