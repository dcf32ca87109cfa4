"""Steps of `path_state.feature`."""

from random import Random

from behave import given, then, when

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.model.topology import Location, Topology
from weirscale.gateway.paths.path_state import PathState
from weirscale.gateway.paths.relay_choice import RelayChoice
from weirscale.gateway.peers.registrations import RelayPeer
from weirscale.gateway.settings import ListenAddress

ADDRESSES = ("a", "b", "c")
NUM_CHOICES = 200
MOSTLY = 0.95
LOST_S = 0.5


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def new_state(context):
    context.clock = Clock()
    context.state = PathState(EventRecorder(), context.clock)


def apply(state, event):
    address, _, what = event.strip().partition(" ")
    if what == "lost":
        state.relayed(address, "node-2", "TimeoutError")
    elif what == "connected":
        state.connected(address)
    else:
        state.forget(address)


@when("these happen in turn: {events}")
def step_events(context, events):
    new_state(context)
    for event in events.split(","):
        apply(context.state, event)
        context.clock.now_s += 0.1


@then("{which} paths count as lost")
def step_lost(context, which):
    lost = {address for address in ADDRESSES if context.state.is_lost(address)}
    expected = {
        "no": set(),
        "all": set(ADDRESSES),
        "only a's": {"a"},
        "only b's": {"b"},
        "only a's, b's": {"a", "b"},
    }[which]
    assert lost == expected, lost
    assert context.state.are_all_lost() == (which == "all")


@when("a path is lost and regained {times:d} times, {apart_s:g} seconds apart, and lost once more")
def step_flaps(context, times, apart_s):
    new_state(context)
    context.generations = {address: context.state.generation(address) for address in ADDRESSES}
    for _ in range(times):
        apply(context.state, "a lost")
        context.clock.now_s += LOST_S
        apply(context.state, "a connected")
        context.clock.now_s += apart_s
    apply(context.state, "a lost")


@then("it is checked after {first_s:g} seconds, and then each 0.5 seconds")
def step_checked(context, first_s):
    for wait_s in (first_s, 0.5, 0.5):
        due_s = context.clock.now_s + wait_s
        context.clock.now_s = due_s - 0.01
        assert context.state.take_due(2) == [], wait_s
        context.clock.now_s = due_s + 1e-6
        assert context.state.take_due(2) == ["a"], wait_s


@then("the generation of its connections has changed {times:d} times, and that of others not")
def step_generation(context, times):
    for address, before in context.generations.items():
        expected = before + (times if address == "a" else 0)
        assert context.state.generation(address) == expected, address


@when("another node confirms that a back end is unreachable")
def step_confirms(context):
    new_state(context)


@then("that holds for 1 second, and not after a direct or relayed connection")
def step_confirmation(context):
    state, clock = context.state, context.clock
    assert not state.is_confirmed_unreachable("a")
    for event in ("a connected", "a lost"):
        state.confirmed_unreachable("a")
        clock.now_s += 0.99
        assert state.is_confirmed_unreachable("a")
        apply(state, event)
        assert not state.is_confirmed_unreachable("a"), event
    state.confirmed_unreachable("a")
    clock.now_s += 1.01
    assert not state.is_confirmed_unreachable("a")


@given("{num:d} relays in this region and 2 in another")
def step_relays(context, num):
    zones = ["here"] * num + ["there"] * 2
    context.relays = [
        RelayPeer(f"node-{number}", ListenAddress("10.0.0.1", number), zone, "t")
        for number, zone in enumerate(zones)
    ]
    topology = Topology({"here": "r1", "there": "r2"})
    context.choice = RelayChoice(
        Location("here", topology), lambda: context.relays, Random(3), Clock()
    )


@when("{good:d} of them work and {bad:d} of them fail")
def step_work(context, good, bad):
    for relay in context.relays[:good]:
        context.choice.worked(relay)
    for relay in context.relays[good : good + bad]:
        context.choice.failed(relay)
    num_here = len(context.relays) - 2
    context.expected = {
        "this region": context.relays[:num_here],
        "those that worked": context.relays[:good],
        "those that did not fail": [*context.relays[:good], *context.relays[good + bad : num_here]],
        "the other region": context.relays[num_here:],
    }


@then("the first relay is mostly one of {first}")
def step_first(context, first):
    chosen = [context.choice.candidates(3)[0] for _ in range(NUM_CHOICES)]
    expected = context.expected[first]
    assert sum(relay in expected for relay in chosen) >= MOSTLY * NUM_CHOICES, chosen
    assert set(expected) <= set(chosen), "some are never chosen"
