"""Intervals and limits of home nodes and of receivers of digests."""

import msgspec


class HomeRules(msgspec.Struct, frozen=True):
    """Rules for a node as home of engines and as receiver of digests.

    Attributes:
        check_interval_s: Time between two checks of which engines a node is the home of.
        max_join_wait_s: Longest wait for an answer of another node before engines are taken over.
        max_remote_homes: Limit on the engines of zones without nodes that a node is the home of. A
            node that has just started, or whose zone is partitioned, sees no nodes of other zones
            and would take over every engine of the deployment. Engines beyond this limit have no
            home.
        publish_interval_s: Time between digests of one engine.
        load_interval_s: Time between load reports of one engine.
        load_timeout_s: Longest wait for a load report.
        digest_bytes_per_s: Budget for digests of all engines of a home, to all receivers together.
        max_view_keys: Limit on the keys of one zone's engines in a receiver's view, at about 118
            bytes each.
        load_bytes_per_s: Budget for load reports of all engines of a home to other nodes.
        note_bytes_per_s: Budget for send notices, to all receivers together.
        min_announced_tokens: Sends that make an engine compute fewer prompt tokens than this are
            not announced.
        dumps_per_s: Limit on the rate of dumps that a node requests, over all its engines.
        burst_dumps: Dumps that a node may request at once.
        dump_jitter_s: Longest random delay before a dump, so that many nodes that restart together
            do not request dumps from all engines at once.
        dump_timeout_s: Longest wait for a dump.
        retry_interval_s: Pause before events are followed again after a failure.
        stream_idle_timeout_s: An event stream without events for this time is reopened.
        max_stream_loss_s: Longest time that an index is used while its events cannot be followed.
        requests_per_s: Limit on the rate of requests for missed digests, over all engines.
        request_timeout_s: Longest wait for the missed digests.
    """

    check_interval_s: float = 0.5
    max_join_wait_s: float = 3.0
    max_remote_homes: int = 32
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
    stream_idle_timeout_s: float = 3.0
    max_stream_loss_s: float = 5.0
    requests_per_s: float = 4.0
    request_timeout_s: float = 2.0
