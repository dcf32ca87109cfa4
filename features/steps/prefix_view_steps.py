import re

from behave import given, then

from weirscale.domain.prefix.cache_view import CacheView
from weirscale.messages.digest import CacheDigest, FullDigest, pack_keys

ARRIVAL = re.compile(r"(full:)?r(\d+)s(\d+)#(\d+)(!?)(?:k(\d+))?(?:\+(\w+))?(?:-(\w+))?")
KEYS = {"a": 0b001, "b": 0b010, "c": 0b100}
"""Keys of blocks: one sample bit samples b and c, two sample bits only c."""


def packed_keys(letters):
    return pack_keys([KEYS[letter] for letter in letters or ""])


def receive_arrival(context, arrival):
    view = context.view
    if arrival.startswith("wait"):
        context.now_s += float(arrival.removeprefix("wait"))
    elif arrival.startswith("run"):
        view.record_run("e1", int(arrival.removeprefix("run")), context.now_s)
    else:
        full, run, stream, number, reset, bits, added, removed = ARRIVAL.fullmatch(arrival).groups()
        identity = ("e1", int(run), int(stream), int(number), int(bits or 0))
        if full:
            outcome = view.receive_full(FullDigest(*identity, packed_keys(added)), context.now_s)
        else:
            digest = CacheDigest(*identity, bool(reset), packed_keys(added), packed_keys(removed))
            outcome = view.receive(digest, context.now_s)
        context.outcome = outcome
    view.expire(context.now_s)


@given('a view that has received "{arrivals}"')
def step_receive(context, arrivals):
    context.view = CacheView()
    context.now_s = 100.0
    for arrival in arrivals.split():
        receive_arrival(context, arrival)


@then('the view holds exactly the blocks "{blocks}"')
def step_holds(context, blocks):
    expected = {KEYS[letter] for letter in blocks}
    assert context.view.keys("e1") == expected, context.view.keys("e1")


@then('the view holds exactly the blocks ""')
def step_holds_none(context):
    step_holds(context, "")


@then('the outcome of the last digest was "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome
