"""Steps of `gateway_old_weights.feature`."""

import anyio
from behave import given, then, when

from features.steps.gateway_weights_rollout_steps import (
    PLANNER_LEASE_KEY,
    restart_all,
    set_target_version,
)
from features.support.platform_fleet import MODEL, STORE_ADDRESS
from weirscale.gateway.state.target_versions import TargetVersions

ORDER_DELAY_S = 60.0
MAX_PROOF_INTERVAL_S = 1.3
"""Maximum seconds between two proofs that a node obtains by itself."""

SEND_INTERVALS_S = 0.15
"""Seconds in which each of three nodes gets one request."""


def set_first_target(fleet_run, version):
    """Set a target version and record its time as that of the first target."""
    set_target_version(fleet_run, version)
    fleet_run.first_target_set_s = fleet_run.target_set_s


@when('{wait_s:g} seconds later the store is unreachable for "{names}" for {seconds:g} seconds')
def step_unreachable(context, wait_s, names, seconds):
    async def action(fleet_run):
        await anyio.sleep(wait_s)
        cuts = {(name, STORE_ADDRESS) for name in names.split(",")}
        fleet_run.fleet.cuts |= cuts
        await anyio.sleep(seconds)
        fleet_run.fleet.cuts -= cuts
        fleet_run.outage_ended_s = anyio.current_time()

    context.fleet_run.actions.append(action)


@when('"{name}" is paused and target version {version:d} is set, for {seconds:g} seconds')
def step_paused_at_change(context, name, version, seconds):
    async def action(fleet_run):
        fleet_run.fleet.freeze(name)
        set_first_target(fleet_run, version)
        await anyio.sleep(seconds)
        await fleet_run.fleet.thaw(name)

    context.fleet_run.actions.append(action)


@when('"{names}" are paused for {seconds:g} seconds')
def step_paused(context, names, seconds):
    async def action(fleet_run):
        for name in names.split(","):
            fleet_run.fleet.freeze(name)
        await anyio.sleep(seconds)
        for name in names.split(","):
            await fleet_run.fleet.thaw(name)

    context.fleet_run.actions.append(action)


@when('"{name}" is paused for {seconds:g} seconds while all other nodes restart')
def step_others_restart(context, name, seconds):
    async def action(fleet_run):
        fleet = fleet_run.fleet
        others = [other for other in fleet.nodes if other != name]
        fleet.freeze(name)
        for other in others:
            fleet.kill(other)
        await anyio.sleep(seconds - 1.0)
        for other in others:
            await fleet.start_node(other, is_first_start=False)
        await anyio.sleep(1.0 - 0.1 * len(others))
        await fleet.thaw(name)

    context.fleet_run.actions.append(action)


@when('"" are paused for {seconds:g} seconds')
def step_none_paused(context, seconds):
    """Pause no node."""


@when('{wait_s:g} seconds later the store is unreachable for "" for {seconds:g} seconds')
def step_reachable(context, wait_s, seconds):
    """Cut no node off."""


@when(
    '"{name}" is paused, target versions {first:d} and {second:d} are set {apart_s:g} seconds apart, '
    "and the node resumes"
)
def step_misses_first(context, name, first, second, apart_s):
    async def action(fleet_run):
        fleet_run.fleet.freeze(name)
        set_first_target(fleet_run, first)
        await anyio.sleep(apart_s)
        set_target_version(fleet_run, second)
        await anyio.sleep(1.0)
        # After a compaction the node receives only the newest state of a key.
        fleet_run.fleet.store.compact()
        await fleet_run.fleet.thaw(name)

    context.fleet_run.actions.append(action)


@then(
    "their log lines state the newest version and an age that grows to {seconds:g} seconds, or up to "
    "{more_s:g} more"
)
def step_log_lines(context, seconds, more_s):
    fleet_run = context.fleet_run.run()
    lines = [line for log in fleet_run.fleet.logs.values() for line in log.named("request_ended")]
    assert {line["newest"] for line in lines} == {2}, lines
    for log in fleet_run.fleet.logs.values():
        ages_s = [line["owed_ms"] / 1000.0 for line in log.named("request_ended")]
        assert ages_s == sorted(ages_s), ages_s
        assert seconds - SEND_INTERVALS_S <= ages_s[-1] <= seconds + more_s, ages_s


@given("no order reaches an engine")
def step_no_orders(context):
    async def action(fleet_run):
        for runner in fleet_run.fleet.runners:
            runner.late_orders_s = ORDER_DELAY_S

    context.fleet_run.actions.append(action)


@given("the lease of an age marker is granted {late_s:g} seconds late")
def step_late_lease(context, late_s):
    async def action(fleet_run):
        for node in fleet_run.fleet.nodes.values():
            node._weights_rollout._age_markers._store = LateLeases(
                node._weights_rollout._age_markers._store, late_s
            )

    context.fleet_run.actions.append(action)


class LateLeases:
    """Passes calls to the store, and delays those that grant leases."""

    def __init__(self, store, late_s):
        self._store = store
        self._late_s = late_s

    async def grant_lease(self, life_s):
        await anyio.sleep(self._late_s)
        return await self._store.grant_lease(life_s)

    def __getattr__(self, name):
        return getattr(self._store, name)


@when("all nodes restart {seconds:g} seconds later")
def step_all_restart(context, seconds):
    async def action(fleet_run):
        await anyio.sleep(seconds)
        await restart_all(fleet_run.fleet)

    context.fleet_run.actions.append(action)


def last_start_s(fleet_run, version):
    """Return when the last request on a version began; when the target was set if none did."""
    runs = [run for runner in fleet_run.fleet.runners for run in runner.runs]
    return max(
        (run.began_s for run in runs if run.version == version), default=fleet_run.target_set_s
    )


@then(
    "the last request on version {version:d} began {least:g} to {most:g} seconds after the {moment}"
)
def step_last_request(context, version, least, most, moment):
    fleet_run = context.fleet_run.run()
    since_s = fleet_run.outage_ended_s if moment == "outage" else fleet_run.target_set_s
    took_s = last_start_s(fleet_run, version) - since_s
    assert least <= took_s <= most, took_s


@when("target version {version:d} is set and an answer of the other node takes {delay_s:g} seconds")
def step_late_answer(context, version, delay_s):
    async def action(fleet_run):
        fleet = fleet_run.fleet
        # Only the answers of node-2 are delayed; node-1 receives the target version from the store.
        ages = fleet.nodes["node-1"].ages
        receive = ages.receive

        def receive_late(reply):
            fleet_run.num_answers += 1
            fleet.tasks.start_soon(receive_after_delay, receive, reply, delay_s)

        fleet_run.num_answers = 0
        ages.receive = receive_late
        set_target_version(fleet_run, version)
        await anyio.sleep(delay_s + 3.0)
        fleet_run.target_version = fleet.nodes["node-1"].cluster.target_versions.newest_target(
            MODEL
        )

    context.fleet_run.actions.append(action)


async def receive_after_delay(receive, reply, delay_s):
    await anyio.sleep(delay_s)
    receive(reply)


@then("node-1 assumes that version {version:d} was set no later than it was")
def step_no_later(context, version):
    fleet_run = context.fleet_run.run()
    target = fleet_run.target_version
    assert fleet_run.num_answers > 0
    assert target.version == version
    assert (
        fleet_run.target_set_s - MAX_PROOF_INTERVAL_S
        <= target.set_after_s
        <= fleet_run.target_set_s
    ), target


@given("engines that need {seconds:g} s to begin a request")
def step_slow_to_begin(context, seconds):
    async def action(fleet_run):
        for runner in fleet_run.fleet.runners:
            runner.read_s = seconds

    context.fleet_run.actions.append(action)


def runs_on(fleet_run, version):
    return [
        run for runner in fleet_run.fleet.runners for run in runner.runs if run.version == version
    ]


@then(
    "no request on version {version:d} had its first event later than {seconds:g} seconds after "
    "the target was set"
)
def step_no_late_event(context, version, seconds):
    fleet_run = context.fleet_run.run()
    delays_s = [
        run.first_event_s - fleet_run.target_set_s
        for run in runs_on(fleet_run, version)
        if run.first_event_s
    ]
    assert delays_s and max(delays_s) <= seconds, max(delays_s)


@then(
    "the last request on version {version:d} was sent {least:g} to {most:g} seconds after the target "
    "was set"
)
def step_last_sent(context, version, least, most):
    fleet_run = context.fleet_run
    sent_s = max(run.began_s for run in runs_on(fleet_run, version)) - fleet_run.target_set_s
    assert least <= sent_s <= most, sent_s


@when('"{name}" restarts after {seconds:g} seconds and gets the duty at once')
def step_restart_as_holder(context, name, seconds):
    async def action(fleet_run):
        await anyio.sleep(seconds)
        fleet_run.fleet.kill(name)
        await fleet_run.fleet.start_node(name, is_first_start=False)
        # The node has registered by now, and the node that registered last has the best rank.
        await anyio.sleep(0.4)
        fleet_run.fleet.store.delete(PLANNER_LEASE_KEY)

    context.fleet_run.actions.append(action)


@then("{name} has begun no load, because no engine needs the new weights yet")
def step_no_loads(context, name):
    log = context.fleet_run.run().fleet.logs[name]
    assert log.named("lease_won"), "the node never got the duty"
    assert not log.named("load_begun"), log.named("load_begun")


@when(
    "the store is down for {seconds:g} seconds, and target version {version:d} is set as it recovers"
)
def step_set_at_recovery(context, seconds, version):
    async def action(fleet_run):
        fleet_run.fleet.store.is_down = True
        await anyio.sleep(seconds)
        set_target_version(fleet_run, version)
        fleet_run.fleet.store.is_down = False
        record_loads(fleet_run)

    context.fleet_run.actions.append(action)


def record_loads(fleet_run):
    """Record the times at which loads begin from now on."""
    fleet_run.loads_s = []
    for log in fleet_run.fleet.logs.values():
        log_event = log.event

        def event(name, log_event=log_event, **fields):
            if name == "load_begun":
                fleet_run.loads_s.append(anyio.current_time())
            log_event(name, **fields)

        log.event = event


@then("at most {count:d} loads were begun within any {seconds:g} seconds")
def step_waves(context, count, seconds):
    loads_s = context.fleet_run.run().loads_s
    assert loads_s, "no load was begun"
    for begun_s in loads_s:
        num_loads = sum(1 for load_s in loads_s if begun_s <= load_s <= begun_s + seconds)
        assert num_loads <= count, loads_s


@when("the holder is killed after {seconds:g} seconds")
def step_holder_killed(context, seconds):
    async def action(fleet_run):
        await anyio.sleep(seconds)
        fleet_run.fleet.kill(fleet_run.holder().settings.name)

    context.fleet_run.actions.append(action)


@given("versions {first:d} and {second:d} that were set no earlier than {bound_s:g} s")
def step_target_versions(context, first, second, bound_s):
    context.target_versions = TargetVersions()
    for version in (first, second):
        context.target_versions.add(MODEL, version, bound_s)


@when("version {version:d} is proved to have been set no earlier than {bound_s:g} s")
def step_tighten_bound(context, version, bound_s):
    context.target_versions.tighten_bound(MODEL, version, bound_s)


@then("version {version:d} was set no earlier than {bound_s:g} s")
def step_bound(context, version, bound_s):
    assert context.target_versions.first_newer(MODEL, version - 1).set_after_s == bound_s


@when("{count:d} target versions are set, one every {seconds:g} seconds")
def step_many_targets(context, count, seconds):
    async def action(fleet_run):
        fleet_run.early_s = {name: [] for name in fleet_run.fleet.nodes}
        for version in range(2, 2 + count):
            set_target_version(fleet_run, version)
            await anyio.sleep(seconds)
            for name, node in fleet_run.fleet.nodes.items():
                target = node.cluster.target_versions.newest_target(MODEL)
                assert target.version == version
                fleet_run.early_s[name].append(fleet_run.target_set_s - target.set_after_s)

    context.fleet_run.actions.append(action)


@then("each node assumes that they were set at most {most_s:g} s too early on average")
def step_early(context, most_s):
    early_s = context.fleet_run.run().early_s
    means = {name: sum(errors_s) / len(errors_s) for name, errors_s in early_s.items()}
    assert all(error_s >= 0.0 for errors_s in early_s.values() for error_s in errors_s), early_s
    assert max(means.values()) <= most_s, means
