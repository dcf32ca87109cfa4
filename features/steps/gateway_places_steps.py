from random import Random
from types import SimpleNamespace

from behave import given, then, when

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.configuration import (
    EngineProfile,
    GatewayConfiguration,
    KeptKvStore,
    Service,
)
from weirscale.gateway.model.prompt import CacheScope, Prompt, PromptBlock
from weirscale.gateway.model.topology import ONE_REGION, Location, Topology
from weirscale.gateway.peers.groups import Member
from weirscale.gateway.ports.state_feed import (
    BackEndRegistered,
    ConfigurationChanged,
    StateBatch,
    VersionedChange,
)
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.routing.candidate import Candidate, FetchSource, ScopedPrompt
from weirscale.gateway.routing.choice import choose
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad, Load
from weirscale.gateway.state.cluster_state import ClusterState

BLOCKS = (PromptBlock("a", 4000), PromptBlock("b", 2300), PromptBlock("own", 2890))
PROMPT = Prompt("m", BLOCKS, 9190, 9)
SCOPE = CacheScope("m", 1).text()
CAPACITY = 90_000
REGIONS = Topology({"z1": "one", "z2": "two"})


def candidate_in(region, load=None):
    zone = "z1" if region == "one" else "z2"
    end = BackEnd(f"r-{region}", "lm", f"10.0.0.{zone[1]}:80", zone, BackEndState.READY, 12)
    return Candidate(
        end, load or Load(), False, CachedBlocks(CAPACITY), CAPACITY, 1,
        region=region, is_cross_region=region != "one",
    )  # fmt: skip


@given("a node in region one, and idle runners in regions one and two")
def step_two(context):
    context.near, context.far = candidate_in("one"), candidate_in("two")
    context.need = ScopedPrompt(PROMPT, {1: SCOPE})


def chosen(context, sources=()):
    candidates = [context.near, context.far]
    return choose(candidates, context.need, sources, "z1", ChoiceRules(), Random(1))


@when("the near runner has {requests:d} requests and {tokens:d} tokens waiting")
def step_busy(context, requests, tokens):
    context.near = candidate_in("one", Load(requests, tokens, tokens))


@then('the runner in "{region}" is chosen')
def step_chosen(context, region):
    assert chosen(context).candidate.region == region


@when('a runner in region "{region}" keeps a prompt\'s parts and the near runner keeps none')
def step_keeps(context, region):
    cache = CachedBlocks(CAPACITY)
    cache.record(SCOPE, BLOCKS[:-1], is_ready=True)
    zone = "z1" if region == "one" else "z2"
    context.sources = [FetchSource("10.0.0.9:80", zone, cache, 1, "r-other", region)]


@then("the near runner would get them {fetched}")
def step_fetched(context, fetched):
    rules = ChoiceRules()
    choice = choose([context.near], context.need, context.sources, "z1", rules, Random(1))
    assert (choice.fetched_tokens > 0) == (fetched == "from there"), choice


@when("kept stores stand in region two and region one, in this order")
def step_stores(context):
    stores = [
        Service("k2", kept_kv=KeptKvStore("10.9.0.2:80", "z2", 1_000_000)),
        Service("k1", kept_kv=KeptKvStore("10.9.0.1:80", "z1", 1_000_000)),
    ]
    engine = Service("lm", engine=EngineProfile(12, CAPACITY, ("m",)))
    log = EventRecorder()
    cluster = ClusterState(log, lambda: 100.0)
    named = ConfigurationChanged(GatewayConfiguration(1, services=(engine, *stores)))
    changes = [VersionedChange("c", 1, named)]
    for one in (context.near, context.far):
        instance = one.back_end.instance
        changes.append(VersionedChange(instance, 2, BackEndRegistered(one.back_end)))
    cluster.replace_all(StateBatch(2, tuple(changes)), 100.0)
    context.dispatcher = Dispatcher(
        Location("z1", REGIONS), cluster, FleetLoad(), BackEndHealth(log, Random(1)), 8.0,
        Random(1), lambda: 100.0,
    )  # fmt: skip


@then('runners of region "{one}" use the store in "{own}", and those of "{two}" that in "{other}"')
def step_own_stores(context, one, own, two, other):
    for candidate, region in ((context.near, own), (context.far, other)):
        address = f"10.9.0.{1 if region == 'one' else 2}:80"
        choice = SimpleNamespace(candidate=candidate, scope=SCOPE)
        assert context.dispatcher.save_address(choice, PROMPT) == address
        context.dispatcher.record_blocks(candidate.back_end.instance, SCOPE, BLOCKS, True)
        assert context.dispatcher.save_address(choice, PROMPT) is None
        sources = context.dispatcher._store_sources(100.0)
        found = choose([candidate], context.need, sources, "z1", ChoiceRules(), Random(1))
        assert found.fetch_from == address and found.fetched_tokens > 0


@given("{regions:d} regions of {nodes:d} nodes each")
def step_regions(context, regions, nodes):
    context.members = [
        Member(f"n{region}-{node}", f"z{region}", 100)
        for region in range(1, regions + 1)
        for node in range(nodes)
    ]
    names = {1: "one", 2: "two"}
    context.topology = Topology(
        {f"z{one}": names.get(one, f"r{one}") for one in range(1, regions + 1)}
    )


@then("{count:d} nodes read the store, and every region has one")
def step_readers(context, count):
    readers = choose_readers(context.members, context.topology)
    assert len(readers) == count, readers
    zones = {member.name: member.zone for member in context.members}
    assert {zones[one] for one in readers} == set(zones.values())


@then("a node of region two asks the reader of region two")
def step_asks_near(context):
    name = "n2-3"
    readers = choose_readers(context.members, context.topology)
    if name in readers:
        name = "n2-4"
    peers = SimpleNamespace(members=lambda: context.members)
    context.subscription = StateSubscription(
        name, ClusterState(EventRecorder(), lambda: 100.0), peers, None, EventRecorder(),
        Random(1), lambda: 100.0, context.topology,
    )  # fmt: skip
    context.reader = context.subscription._choose_reader()
    assert context.reader.startswith("n2-") and context.reader in readers


@then("while that one is avoided it asks the reader of region one")
def step_asks_far(context):
    context.subscription._reader = None
    context.subscription._avoided_until_s[context.reader] = 200.0
    assert context.subscription._choose_reader().startswith("n1-")


@given("a node whose settings name no regions")
def step_no_regions(context):
    context.topology = ONE_REGION


@then("no zone is far from another")
def step_none_far(context):
    assert not context.topology.is_cross_region("z1", "z2")
    assert not REGIONS.is_cross_region("z1", "unknown")
