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


def make_runners(count, zones):
    return [
        BackEnd(
            f"r-{number}", "lm", f"10.3.{number // 250}.{number % 250}:8080",
            f"hall-{number % zones}", BackEndState.READY, 16, (ServedModel("m", 1),),
        )
        for number in range(count)
    ]  # fmt: skip


@when("{count:d} runners are shared out among their groups")
def step_share_out(context, count):
    zones = len({one.zone for one in context.members})
    context.runners = make_runners(count, zones)
    context.owners = assign_engines(context.runners, context.division)


@then("every group of a zone has as many runners as the others there, or one less")
def step_even(context):
    groups = context.division.groups
    if len(groups) == 1:
        assert context.owners == {}
        return
    owned = Counter(context.owners.values())
    for zone in {one.zone for one in context.runners}:
        local = [owned[name] for name, group in groups.items() if group[0].zone == zone]
        assert max(local) - min(local) <= 1, local
    assert sum(owned.values()) == len(context.runners)


@then("every order of the runners gives the same shares")
def step_same_shares(context):
    shuffled = list(context.runners)
    for seed in range(3):
        Random(seed).shuffle(shuffled)
        assert assign_engines(shuffled, context.division) == context.owners


@then("when one runner is gone, at most {most:d} of the others change hands")
def step_moved(context, most):
    moved = []
    for gone in range(0, len(context.runners), max(1, len(context.runners) // 10)):
        left = [one for number, one in enumerate(context.runners) if number != gone]
        owners = assign_engines(left, context.division)
        moved.append(sum(1 for name, owner in owners.items() if context.owners[name] != owner))
    assert max(moved) <= most, moved


@given("79 nodes in 3 zones of which one chooses between a runner of its group and a foreign one")
def step_two_runners(context):
    division = divide(make_members(79, 3))
    runners = make_runners(45, 3)
    owners = assign_engines(runners, division)
    own_group = division.group_of["node-0"]
    own = next(one for one in runners if owners[one.instance] == own_group)
    foreign = next(one for one in runners if owners[one.instance] != own_group)
    context.ends = (own, foreign)


@when("its group's runner has {waiting:d} tokens waiting")
def step_waiting(context, waiting):
    rules = ChoiceRules(
        other_group_s=ChoiceRules().other_group_share * (gossip_interval_s(12) - 0.05)
    )
    own, foreign = context.ends
    candidates = [
        Candidate(own, Load(1, waiting, waiting), False, CachedBlocks(80_000), 86_000, 1),
        Candidate(
            foreign, Load(), False, CachedBlocks(80_000), 86_000, 1, belongs_to_other_group=True
        ),
    ]
    prompt = Prompt("m", (*SHARED, OWN), 1300, 20)
    need = ScopedPrompt(prompt, {1: SCOPE})
    choice = choose(candidates, need, [], own.zone, rules, Random(1))
    context.chosen = choice.candidate.back_end


@then("the node chooses its group's")
def step_own_chosen(context):
    assert context.chosen is context.ends[0]


@then("the node chooses the foreign one")
def step_foreign_chosen(context):
    assert context.chosen is context.ends[1]


@given("a node of 79 in 3 zones and 45 runners that it knows")
def step_knowing_node(context):
    nodes = RegisteredNodes(make_members(79, 3), 10.0)
    own = nodes.members[0]
    context.name = own.name
    context.peers = PeerDirectory(own.name, nodes.cluster, lambda: 10.0, own.zone, own.capacity)
    context.ends = BackEndDirectory()
    for runner in make_runners(45, 3):
        context.ends.put(runner)
    context.shares = EngineAssignment(own.name, context.peers, context.ends)


@when("a runner is gone and another one comes")
def step_runners_change(context):
    context.ends.remove("r-0")
    context.ends.put(make_runners(46, 3)[-1])


@then("the runners that it takes for foreign are those of other groups")
def step_foreign(context):
    division = context.peers.division()
    owners = assign_engines(context.ends.all(), division)
    own_group = division.group_of[context.name]
    foreign = {one for one, owner in owners.items() if owner != own_group}
    assert set(context.shares.of_other_groups()) == foreign
    assert 0 < len(foreign) < 45, len(foreign)
