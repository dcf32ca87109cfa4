"""Probe intervals of engines whose home node does not forward their load reports.

Engines of the own zone are probed often. In a large deployment, engines of other zones get requests
only if the own zone has no engine ready for their model; until then they are probed rarely.
"""

import msgspec

from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.identifiers import ModelName, ZoneName
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts

MAX_HOME_REPORT_INTERVALS = 2.5
"""A home node counts as reporting until its last report is older than this number of its intervals,
so that a single lost message does not make every node of a zone probe the engine."""


class ProbeRules(msgspec.Struct, frozen=True):
    """How often to probe engines and read the machine list.

    Attributes:
        polls_engines: Whether this node probes engines.
        load_interval_s: Shortest time between two probes of one engine.
        max_probes_per_s: Limit on this node's probes over all engines; with many engines, each is
            probed less often. Engines whose home nodes report for them are not counted.
        max_single_zone_engines: A deployment of at most this many engines is probed as one zone.
        remote_probes_per_s: Limit on probes over all engines of other zones that are not needed.
        remote_grace_s: Time after the start during which no engines of other zones are needed,
            because engines of the own zone may not have reported yet.
        first_probes_per_s: Rate of first probes of newly declared engines of the own zone.
        load_timeout_s: Longest wait for the answer to a probe.
        home_report_s: An engine is not probed while the last report that its home node forwarded is
            younger than this; a few times the interval of these reports. The limit grows if the
            home node reports less often.
        machines_interval_s: Time between two reads of the machine list; together with a read, it
            stays below the 2 s within which a leaving back end must stop getting requests.
        machines_timeout_s: Longest time of one read of the machine list.
        jitter: Largest share by which an interval is lengthened or shortened at random.
    """

    polls_engines: bool = True
    load_interval_s: float = 1.0
    max_probes_per_s: float = 10.0
    max_single_zone_engines: int = 100
    remote_probes_per_s: float = 1.0
    remote_grace_s: float = 5.0
    first_probes_per_s: float = 200.0
    load_timeout_s: float = 1.0
    home_report_s: float = 3.0
    machines_interval_s: float = 1.0
    machines_timeout_s: float = 5.0
    jitter: float = 0.2


class ProbePace(msgspec.Struct, frozen=True):
    """Probe intervals of engines at one time.

    Attributes:
        local_zone: Engines of this zone are local; None if all engines are.
        needed_models: Models for which engines of other zones are needed.
        num_local: Number of local engines to probe.
        local_interval_s: Interval of local engines.
        needed_interval_s: Interval of engines of other zones for needed models.
        remote_interval_s: Interval of all other engines.
    """

    local_zone: ZoneName | None
    needed_models: frozenset[ModelName]
    num_local: int
    local_interval_s: float
    needed_interval_s: float
    remote_interval_s: float

    def interval_s(self, facts: EngineFacts) -> float:
        """Return the time between two probes of an engine."""
        if self.is_local(facts):
            return self.local_interval_s
        return (
            self.needed_interval_s
            if facts.engine.model in self.needed_models
            else self.remote_interval_s
        )

    def is_local(self, facts: EngineFacts) -> bool:
        """Return whether an engine is probed as an engine of the own zone."""
        return self.local_zone in (None, facts.engine.zone)


def probe_pace(
    snapshot: DirectorySnapshot,
    zone: ZoneName | None,
    rules: ProbeRules,
    now_s: float,
    is_settled: bool,
) -> ProbePace:
    """Return the current probe intervals.

    Args:
        snapshot: State of the directory.
        zone: This node's own zone, None to probe all engines alike.
        rules: Rates and intervals.
        now_s: Current time.
        is_settled: Whether the engines of the own zone have had time to report.
    """
    engines = snapshot.engines.values()
    local_zone = zone if len(engines) > rules.max_single_zone_engines else None
    probed = [facts for facts in engines if not has_home_report(facts, rules, now_s)]
    local = [facts for facts in probed if local_zone in (None, facts.engine.zone)]
    served_models = {
        facts.report.model
        for facts in engines
        if facts.report is not None and _is_ready(facts, local_zone, rules, now_s)
    }
    needed_models = (
        snapshot.declared_models - served_models if is_settled else frozenset[ModelName]()
    )
    num_remote = len(probed) - len(local)
    num_needed_remote = sum(
        facts.engine.model in needed_models
        for facts in probed
        if local_zone not in (None, facts.engine.zone)
    )
    min_interval_s = rules.load_interval_s
    shared_interval_s = max(
        min_interval_s, (len(local) + num_needed_remote) / rules.max_probes_per_s
    )
    return ProbePace(
        local_zone=local_zone,
        needed_models=frozenset(needed_models),
        num_local=len(local),
        local_interval_s=shared_interval_s,
        needed_interval_s=shared_interval_s,
        remote_interval_s=max(
            min_interval_s, (num_remote - num_needed_remote) / rules.remote_probes_per_s
        ),
    )


def has_home_report(facts: EngineFacts, rules: ProbeRules, now_s: float) -> bool:
    """Return whether the engine's home node forwards its reports, so it need not be probed."""
    max_report_age_s = max(rules.home_report_s, MAX_HOME_REPORT_INTERVALS * facts.home_interval_s)
    return now_s - facts.home_reported_at_s < max_report_age_s


def _is_ready(
    facts: EngineFacts, local_zone: ZoneName | None, rules: ProbeRules, now_s: float
) -> bool:
    """Return whether an engine can take requests, and is local or reported by its home node."""
    is_monitored = local_zone in (None, facts.engine.zone) or has_home_report(facts, rules, now_s)
    is_healthy = state_at(facts.circuit, now_s) is CircuitState.CLOSED
    return is_monitored and is_healthy and not facts.leaving.is_leaving_at(now_s)
