"""Steps of `gateway_runner_shares.feature`."""

from collections import Counter
from random import Random

from behave import given, then, when

from features.steps.gateway_groups_steps import (
    OWN,
    SCOPE,
    SHARED,
    RegisteredNodes,
    make_members,
)
from weirscale.gateway.gossip.intervals import gossip_interval_s
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState, ServedModel
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.groups import divide
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.routing.candidate import Candidate, ScopedPrompt
from weirscale.gateway.routing.choice import choose
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.engine_assignment import EngineAssignment, assign_engines
from weirscale.gateway.routing.load import Load


def make_engines(count, zones):
    return [
        BackEnd(
            f"r-{number}", "lm", f"10.3.{number // 250}.{number % 250}:8080",
            f"hall-{number % zones}", BackEndState.READY, 16, (ServedModel("m", 1),),
        )
        for number in range(count)
    ]  # fmt: skip


@when("{count:d} engines are assigned to their groups")
def step_assign(context, count):
    zones = len({member.zone for member in context.members})
    context.engines = make_engines(count, zones)
    context.owners = assign_engines(context.engines, context.division)


@then("the numbers of engines of the groups in a zone differ by at most one")
def step_even(context):
    groups = context.division.groups
    if len(groups) == 1:
        assert context.owners == {}
        return
    owned = Counter(context.owners.values())
    for zone in {engine.zone for engine in context.engines}:
        local = [owned[name] for name, group in groups.items() if group[0].zone == zone]
        assert max(local) - min(local) <= 1, local
    assert sum(owned.values()) == len(context.engines)


@then("shuffled engines get the same assignment")
def step_same_assignment(context):
    shuffled = list(context.engines)
    for seed in range(3):
        Random(seed).shuffle(shuffled)
        assert assign_engines(shuffled, context.division) == context.owners


@then("when one engine is removed, at most {most:d} of the others move to another group")
def step_moved(context, most):
    moved = []
    for removed in range(0, len(context.engines), max(1, len(context.engines) // 10)):
        remaining = [engine for number, engine in enumerate(context.engines) if number != removed]
        owners = assign_engines(remaining, context.division)
        moved.append(sum(1 for name, owner in owners.items() if context.owners[name] != owner))
    assert max(moved) <= most, moved


@given(
    "79 nodes in 3 zones of which one chooses between an engine of its group and one of another group"
)
def step_two_engines(context):
    division = divide(make_members(79, 3))
    engines = make_engines(45, 3)
    owners = assign_engines(engines, division)
    own_group = division.group_of["node-0"]
    own = next(engine for engine in engines if owners[engine.instance] == own_group)
    other = next(engine for engine in engines if owners[engine.instance] != own_group)
    context.two_engines = (own, other)


@when("its group's engine has {waiting:d} tokens waiting")
def step_waiting(context, waiting):
    rules = ChoiceRules(
        other_group_s=ChoiceRules().other_group_share * (gossip_interval_s(12) - 0.05)
    )
    own, other = context.two_engines
    candidates = [
        Candidate(own, Load(1, waiting, waiting), False, CachedBlocks(80_000), 86_000, 1),
        Candidate(
            other, Load(), False, CachedBlocks(80_000), 86_000, 1, belongs_to_other_group=True
        ),
    ]
    prompt = Prompt("m", (*SHARED, OWN), 1300, 20)
    scoped_prompt = ScopedPrompt(prompt, {1: SCOPE})
    choice = choose(candidates, scoped_prompt, [], own.zone, rules, Random(1))
    context.chosen = choice.candidate.back_end


@then("the node chooses its group's engine")
def step_own_chosen(context):
    assert context.chosen is context.two_engines[0]


@then("the node chooses the other group's engine")
def step_other_chosen(context):
    assert context.chosen is context.two_engines[1]


@given("one of 79 nodes in 3 zones, and 45 registered engines")
def step_node_with_engines(context):
    nodes = RegisteredNodes(make_members(79, 3), 10.0)
    own = nodes.members[0]
    context.name = own.name
    context.peers = PeerDirectory(own.name, nodes.cluster, lambda: 10.0, own.zone, own.capacity)
    context.directory = BackEndDirectory()
    for engine in make_engines(45, 3):
        context.directory.put(engine)
    context.assignment = EngineAssignment(own.name, context.peers, context.directory)


@when("an engine is removed and another one is added")
def step_engines_change(context):
    context.directory.remove("r-0")
    context.directory.put(make_engines(46, 3)[-1])


@then("the node regards the engines of other groups as such")
def step_other_groups(context):
    division = context.peers.division()
    owners = assign_engines(context.directory.all(), division)
    own_group = division.group_of[context.name]
    expected = {instance for instance, owner in owners.items() if owner != own_group}
    assert set(context.assignment.of_other_groups()) == expected
    assert 0 < len(expected) < 45, len(expected)
