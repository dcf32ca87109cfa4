"""Intervals and limits of homes and of receivers of digests."""

import msgspec


class HomeRules(msgspec.Struct, frozen=True):
    """How a node acts as home of engines and as receiver of digests.

    Attributes:
        check_interval_s: How often a node looks which engines it is home of.
        max_join_wait_s: Longest wait for an answer of another node before engines are taken over.
        max_far_homes: Engines of zones without nodes that a node is home of at most. A node that
            has just started, or a zone that is cut off, sees no nodes of other zones and would take
            over every engine of the deployment; engines beyond this number have no home.
        publish_interval_s: Time between digests of one engine.
        load_interval_s: Time between load reports.
        load_timeout_s: Longest wait for one.
        digest_bytes_per_s: Budget for digests of all engines of a home, to all receivers together.
        max_view_keys: Keys of one zone's engines in a receiver's view; at some 118 bytes each.
        load_bytes_per_s: Budget for load reports of all engines of a home to other nodes.
        note_bytes_per_s: Budget for notes of sends, to all receivers together.
        min_announced_tokens: Sends that make an engine compute less are not told.
        dumps_per_s: Dumps that a node asks for at most, over all its engines.
        burst_dumps: Dumps that it may ask for at once.
        dump_jitter_s: A dump waits at random up to this, so that a herd of restarted nodes does
            not ask all engines in one moment.
        dump_timeout_s: Longest wait for a dump.
        retry_interval_s: Pause before events are followed again after a failure.
        max_quiet_s: An event stream without events for so long is opened anew.
        max_quiet_s: float = 3.0
    max_lost_s: Longest time that an index is believed while its events cannot be followed.
        requests_per_s: Missed digests that a receiver asks for at most, over all engines.
        request_timeout_s: Longest wait for them.
    """

    check_interval_s: float = 0.5
    max_join_wait_s: float = 3.0
    max_far_homes: int = 32
    publish_interval_s: float = 1.0
    load_interval_s: float = 1.0
    load_timeout_s: float = 1.0
    digest_bytes_per_s: float = 3000.0
    max_view_keys: int = 100_000
    load_bytes_per_s: float = 2000.0
    note_bytes_per_s: float = 3000.0
    min_announced_tokens: int = 0
    dumps_per_s: float = 1.0
    burst_dumps: int = 2
    dump_jitter_s: float = 1.0
    dump_timeout_s: float = 10.0
    retry_interval_s: float = 0.5
    max_quiet_s: float = 3.0
    max_lost_s: float = 5.0
    requests_per_s: float = 4.0
    request_timeout_s: float = 2.0
