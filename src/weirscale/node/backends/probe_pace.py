"""How often a node asks each engine that no home reports for.

Engines of the own zone are asked often. In a large deployment those of other zones get work only
when the own zone has none for their model, so until then they are asked rarely.
"""

import msgspec

from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.identifiers import ModelName, ZoneName
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts

HOME_INTERVALS = 2.5
"""A home is believed to report while its last report is younger than so many of its intervals:
one lost message does not make every node of a zone ask."""


class ProbeRules(msgspec.Struct, frozen=True):
    """How often to ask.

    Attributes:
        polls_engines: Whether this node asks engines itself at all.
        load_interval_s: Time between two load reports of one engine.
        max_probes_per_s: Probes of this node over all engines; with more engines than it allows,
            each is asked less often. Engines whose home nodes report for them do not count.
        max_whole_engines: A deployment of at most so many engines is asked as one zone.
        far_probes_per_s: Probes over all engines of other zones while they are not needed.
        far_grace_s: Time after the start in which engines of other zones are not needed: those of
            the own zone have not been heard yet.
        first_probes_per_s: Engines asked a second after the start, to learn of them quickly.
        load_timeout_s: Longest wait for one.
        home_report_s: An engine whose home node passed on a report younger than this is not asked;
            a few times the interval of such reports. Longer where homes report less often.
        machines_interval_s: Time between two reads of the machine list; with the read itself it
            stays below the 2 s in which a leaving back end must stop getting work.
        machines_timeout_s: Longest read of the list.
        jitter: Share by which each interval is lengthened or shortened at random.
    """

    polls_engines: bool = True
    load_interval_s: float = 1.0
    max_probes_per_s: float = 10.0
    max_whole_engines: int = 100
    far_probes_per_s: float = 1.0
    far_grace_s: float = 5.0
    first_probes_per_s: float = 200.0
    load_timeout_s: float = 1.0
    home_report_s: float = 3.0
    machines_interval_s: float = 1.0
    machines_timeout_s: float = 5.0
    jitter: float = 0.2


class ProbePace(msgspec.Struct, frozen=True):
    """Times between two probes of one engine, as of one moment.

    Attributes:
        near_zone: Engines of this zone are near; all are near where it is None.
        needed: Models for which engines of other zones are needed.
        num_near: Near engines to ask.
        near_s: Interval of near engines.
        needed_s: Interval of engines of other zones for needed models.
        far_s: Interval of the others.
    """

    near_zone: ZoneName | None
    needed: frozenset[ModelName]
    num_near: int
    near_s: float
    needed_s: float
    far_s: float

    def interval_s(self, facts: EngineFacts) -> float:
        """Return the time between two probes of an engine."""
        if self.is_near(facts):
            return self.near_s
        return self.needed_s if facts.engine.model in self.needed else self.far_s

    def is_near(self, facts: EngineFacts) -> bool:
        """Whether an engine is asked as one of the own zone."""
        return self.near_zone in (None, facts.engine.zone)


def probe_pace(
    snapshot: DirectorySnapshot,
    zone: ZoneName | None,
    rules: ProbeRules,
    now_s: float,
    is_settled: bool,
) -> ProbePace:
    """Return the pace now.

    Args:
        snapshot: What is known of engines.
        zone: This node's own zone, None to ask all engines alike.
        rules: How often to ask.
        now_s: Time.
        is_settled: Whether the own zone's engines have had time to be heard.
    """
    engines = snapshot.engines.values()
    near_zone = zone if len(engines) > rules.max_whole_engines else None
    asked = [facts for facts in engines if not has_home_report(facts, rules, now_s)]
    near = [facts for facts in asked if near_zone in (None, facts.engine.zone)]
    served = {
        facts.report.model
        for facts in engines
        if facts.report is not None and _is_served_near(facts, near_zone, rules, now_s)
    }
    needed = snapshot.declared_models - served if is_settled else frozenset[ModelName]()
    num_far = len(asked) - len(near)
    num_needed = sum(
        facts.engine.model in needed
        for facts in asked
        if near_zone not in (None, facts.engine.zone)
    )
    shortest_s = rules.load_interval_s
    busy_s = max(shortest_s, (len(near) + num_needed) / rules.max_probes_per_s)
    return ProbePace(
        near_zone=near_zone,
        needed=frozenset(needed),
        num_near=len(near),
        near_s=busy_s,
        needed_s=busy_s,
        far_s=max(shortest_s, (num_far - num_needed) / rules.far_probes_per_s),
    )


def has_home_report(facts: EngineFacts, rules: ProbeRules, now_s: float) -> bool:
    """Whether the engine's home node reports for it, so that this node need not ask."""
    trusted_s = max(rules.home_report_s, HOME_INTERVALS * facts.home_interval_s)
    return now_s - facts.home_reported_at_s < trusted_s


def _is_served_near(
    facts: EngineFacts, near_zone: ZoneName | None, rules: ProbeRules, now_s: float
) -> bool:
    """Whether an engine near this node is ready for work, as far as is known."""
    is_near = near_zone in (None, facts.engine.zone) or has_home_report(facts, rules, now_s)
    is_healthy = state_at(facts.circuit, now_s) is CircuitState.CLOSED
    return is_near and is_healthy and not facts.leaving.is_leaving_at(now_s)
