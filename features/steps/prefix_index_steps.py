import re

from behave import given, then

from weirscale.domain.prefix.engine_index import EngineIndex
from weirscale.messages.cache import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEventBatch,
)

ARRIVAL = re.compile(r"r(\d+)(#|dump)(\d+)(v\d+)?([-+*=])(\w*)")


def make_event(sign, hashes):
    if sign == "+":
        return BlockStored(hashes, None)
    return BlockRemoved(hashes) if sign == "-" else AllBlocksCleared()


def receive_arrival(index, arrival, now_s):
    """Apply one arrival of the table and return the time after it."""
    if arrival.startswith("wait"):
        now_s += float(arrival.removeprefix("wait"))
    elif arrival.startswith("run"):
        index.record_run(int(arrival.removeprefix("run")), "v1")
    else:
        run, kind, sequence, version, sign, letters = ARRIVAL.fullmatch(arrival).groups()
        hashes = tuple(ord(letter) for letter in letters)
        identity = ("e1", int(run), "qalam", version or "v1", int(sequence))
        if kind == "dump":
            index.load_dump(CacheDump(*identity, hashes), now_s)
        else:
            index.apply(CacheEventBatch(*identity, (make_event(sign, hashes),)), now_s)
    index.expire(now_s)
    return now_s


@given('an index that has received "{arrivals}"')
def step_receive(context, arrivals):
    context.index = EngineIndex("e1")
    now_s = 100.0
    for arrival in arrivals.split():
        now_s = receive_arrival(context.index, arrival, now_s)


@then('the index holds exactly the blocks "{blocks}"')
def step_holds(context, blocks):
    assert "".join(sorted(map(chr, context.index.blocks))) == blocks, list(context.index.blocks)


@then('the index holds exactly the blocks ""')
def step_holds_none(context):
    step_holds(context, "")


@then('the index needs "{need}"')
def step_needs(context, need):
    actual = "dump" if context.index.needs_dump else "replay"
    assert (actual if context.index.has_gap else "nothing") == need, actual
