"""Steps of `gateway_places.feature`."""

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
    engine = BackEnd(f"r-{region}", "lm", f"10.0.0.{zone[1]}:80", zone, BackEndState.READY, 12)
    return Candidate(
        engine, load or Load(), False, CachedBlocks(CAPACITY), CAPACITY, 1,
        region=region, is_cross_region=region != "one",
    )  # fmt: skip


@given("a node in region one, and idle engines in regions one and two")
def step_two_regions(context):
    context.near, context.far = candidate_in("one"), candidate_in("two")
    context.prompt = ScopedPrompt(PROMPT, {1: SCOPE})


def choose_engine(context, sources=()):
    candidates = [context.near, context.far]
    return choose(candidates, context.prompt, sources, "z1", ChoiceRules(), Random(1))


@when("the near engine has {requests:d} requests and {tokens:d} tokens waiting")
def step_busy(context, requests, tokens):
    context.near = candidate_in("one", Load(requests, tokens, tokens))


@then('the engine in region "{region}" is chosen')
def step_chosen(context, region):
    assert choose_engine(context).candidate.region == region


@when('an engine in region "{region}" caches a prompt\'s blocks and the near engine caches none')
def step_caches(context, region):
    cache = CachedBlocks(CAPACITY)
    cache.record(SCOPE, BLOCKS[:-1], is_ready=True)
    zone = "z1" if region == "one" else "z2"
    context.sources = [FetchSource("10.0.0.9:80", zone, cache, 1, "r-other", region)]


@then("the near engine would get them {how}")
def step_how(context, how):
    rules = ChoiceRules()
    choice = choose([context.near], context.prompt, context.sources, "z1", rules, Random(1))
    assert (choice.fetched_tokens > 0) == (how == "by a fetch"), choice


@when("kept-KV stores are configured in region two and region one, in this order")
def step_stores(context):
    stores = [
        Service("k2", kept_kv=KeptKvStore("10.9.0.2:80", "z2", 1_000_000)),
        Service("k1", kept_kv=KeptKvStore("10.9.0.1:80", "z1", 1_000_000)),
    ]
    engine = Service("lm", engine=EngineProfile(12, CAPACITY, ("m",)))
    log = EventRecorder()
    cluster = ClusterState(log, lambda: 100.0)
    configuration_change = ConfigurationChanged(GatewayConfiguration(1, services=(engine, *stores)))
    changes = [VersionedChange("c", 1, configuration_change)]
    for candidate in (context.near, context.far):
        instance = candidate.back_end.instance
        changes.append(VersionedChange(instance, 2, BackEndRegistered(candidate.back_end)))
    cluster.replace_all(StateBatch(2, tuple(changes)), 100.0)
    context.dispatcher = Dispatcher(
        Location("z1", REGIONS), cluster, FleetLoad(), BackEndHealth(log, Random(1)), 8.0,
        Random(1), lambda: 100.0,
    )  # fmt: skip


@then(
    'engines in region "{near}" use the store in "{near_store}", and those in "{far}" the store in '
    '"{far_store}"'
)
def step_own_stores(context, near, near_store, far, far_store):
    for candidate, region in ((context.near, near_store), (context.far, far_store)):
        address = f"10.9.0.{1 if region == 'one' else 2}:80"
        choice = SimpleNamespace(candidate=candidate, scope=SCOPE)
        assert context.dispatcher.save_address(choice, PROMPT) == address
        context.dispatcher.record_blocks(candidate.back_end.instance, SCOPE, BLOCKS, True)
        assert context.dispatcher.save_address(choice, PROMPT) is None
        sources = context.dispatcher._store_sources(100.0)
        fetching = choose([candidate], context.prompt, sources, "z1", ChoiceRules(), Random(1))
        assert fetching.fetch_from == address and fetching.fetched_tokens > 0


@given("{regions:d} regions of {nodes:d} nodes each")
def step_regions(context, regions, nodes):
    context.members = [
        Member(f"n{region}-{node}", f"z{region}", 100)
        for region in range(1, regions + 1)
        for node in range(nodes)
    ]
    names = {1: "one", 2: "two"}
    context.topology = Topology(
        {f"z{number}": names.get(number, f"r{number}") for number in range(1, regions + 1)}
    )


@then("{count:d} nodes read the store, at least one of them in every region")
def step_readers(context, count):
    readers = choose_readers(context.members, context.topology)
    assert len(readers) == count, readers
    zones = {member.name: member.zone for member in context.members}
    assert {zones[reader] for reader in readers} == set(zones.values())


@then("a node in region two queries the reader of region two")
def step_queries_own_region(context):
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


@then("while that reader is avoided the node queries the reader of region one")
def step_queries_other_region(context):
    context.subscription._reader = None
    context.subscription._avoided_until_s[context.reader] = 200.0
    assert context.subscription._choose_reader().startswith("n1-")


@given("a node whose settings name no regions")
def step_no_regions(context):
    context.topology = ONE_REGION


@then("no two zones count as different regions")
def step_no_different_regions(context):
    assert not context.topology.is_cross_region("z1", "z2")
    assert not REGIONS.is_cross_region("z1", "unknown")
