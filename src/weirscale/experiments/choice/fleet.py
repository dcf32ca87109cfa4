"""One run of one policy: a discrete-event simulation of nodes and engines in virtual time."""

import heapq
import itertools
from collections.abc import Callable, Mapping, Sequence
from random import Random

import msgspec

from weirscale.domain.choice.noted_sends import NotedSends
from weirscale.domain.choice.policy import ChoicePolicy, ChoiceRequest, EngineCandidate
from weirscale.domain.choice.recent_sends import keys_at, ladder_depths
from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.identifiers import BlockHash, EngineName, RequestId, TenantName, ZoneName
from weirscale.domain.prefix.cache_view import CacheView
from weirscale.domain.prefix.note_budget import NOTE_OVERHEAD_BYTES
from weirscale.experiments.choice.arrivals import Arrival
from weirscale.experiments.choice.engine import (
    FIRST_INCARNATION,
    VERSION,
    EngineModel,
    Work,
)
from weirscale.experiments.choice.knowledge import HomeModel, KnowledgeFaults
from weirscale.experiments.choice.shape import ChoiceShape
from weirscale.messages.digest import KEY_BYTES
from weirscale.node.routing.load_estimate import LoadEstimate

EVENT_BATCH_INTERVAL_S = 0.1
LOCAL_DELAY_S = 0.0002
"""One-way delay within a zone."""


class NodeKnowledge(msgspec.Struct, frozen=True):
    """What a node's policy may be given.

    Attributes:
        view: Beliefs from digests.
        noted: What other nodes told of their sends.
        engines: The engines themselves, for the oracle only.
    """

    view: CacheView
    noted: NotedSends
    engines: Mapping[EngineName, EngineModel]


MakePolicy = Callable[[ChoiceShape, NodeKnowledge], ChoicePolicy]
"""Makes one node's policy."""


class Served(msgspec.Struct, frozen=True):
    """What became of one request.

    Attributes:
        at_s: When it arrived.
        ttft_s: Time to its first token.
        num_blocks: Prompt blocks.
        num_cached_blocks: Blocks served from the cache.
        num_again_blocks: Blocks computed that some engine had computed before.
        num_predicted_blocks: Blocks that the policy counted on.
    """

    at_s: float
    ttft_s: float
    num_blocks: int
    num_cached_blocks: int
    num_again_blocks: int
    num_predicted_blocks: int


class _Node:
    """One router node: its policy, its view and its load estimates."""

    def __init__(self, zone: int, engines: Sequence[EngineModel], seed: int) -> None:
        self.zone = zone
        self.view = CacheView()
        self.noted = NotedSends()
        self.random = Random(seed)
        self.loads = {engine.name: LoadEstimate() for engine in engines}
        self.reported_at_s = dict.fromkeys(self.loads, 0.0)
        self.num_cached_blocks = dict.fromkeys(self.loads, 0)
        self.policy: ChoicePolicy


class FleetRun:
    """Runs arrivals through one policy.

    Args:
        shape: The workload.
        make_policy: Makes the policy of each node.
        faults: How late and lossy knowledge is.
        seed: Determines losses and random choices.
        exact_loads: Whether candidates carry true loads (for the oracle).
    """

    def __init__(
        self,
        shape: ChoiceShape,
        make_policy: MakePolicy,
        faults: KnowledgeFaults,
        seed: int,
        exact_loads: bool = False,
    ) -> None:
        self._shape = shape
        self._faults = faults
        self._exact_loads = exact_loads
        self._random = Random(seed)
        self._now_s = 0.0
        self._counter = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        computed_before: set[int] = set()
        self._engines = {
            name: EngineModel(
                name,
                shape.blocks_per_engine,
                shape.tokens_per_block,
                shape.prefill_tokens_per_s,
                computed_before,
            )
            for name in (EngineName(f"engine-{number}") for number in range(shape.num_engines))
        }
        engines = list(self._engines.values())
        self._nodes = [
            _Node(number % shape.num_zones, engines, seed + number)
            for number in range(shape.num_zones * shape.nodes_per_zone)
        ]
        for node in self._nodes:
            node.policy = make_policy(shape, NodeKnowledge(node.view, node.noted, self._engines))
        views = [node.view for node in self._nodes]
        self.homes = [
            HomeModel(engine, views, faults, self._random, self._schedule, self.now_s)
            for engine in engines
        ]
        self._requests: dict[int, ChoiceRequest] = {}
        self._predicted: dict[int, int] = {}
        self.served: list[Served] = []
        self.num_note_bytes = 0

    def now_s(self) -> float:
        """Return the virtual time."""
        return self._now_s

    def run(self, arrivals: Sequence[Arrival]) -> list[Served]:
        """Serve all arrivals and return what became of them."""
        end_s = arrivals[-1].at_s
        for arrival in arrivals:
            self._schedule_at(arrival.at_s, lambda each=arrival: self._arrive(each))  # type: ignore[misc]
        for home in self.homes:
            self._every(EVENT_BATCH_INTERVAL_S, home.follow_engine, end_s)
            self._every(self._faults.digest_interval_s, home.publish, end_s)
        for engine in self._engines.values():
            self._every(
                self._faults.report_interval_s,
                lambda each=engine: self._report(each),  # type: ignore[misc]
                end_s,
            )
        while self._events:
            self._now_s, _, function = heapq.heappop(self._events)
            function()
        return self.served

    def _schedule(self, delay_s: float, function: Callable[[], None]) -> None:
        self._schedule_at(self._now_s + delay_s, function)

    def _schedule_at(self, at_s: float, function: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._counter), function))

    def _every(self, interval_s: float, function: Callable[[], None], end_s: float) -> None:
        def repeat() -> None:
            function()
            if self._now_s < end_s:
                self._schedule(interval_s, repeat)

        self._schedule(self._random.random() * interval_s, repeat)

    def _report(self, engine: EngineModel) -> None:
        """Let every node learn the engine's load a little later."""
        at_s = self._now_s
        num_requests = engine.num_requests
        num_tokens = engine.waiting_tokens(at_s)
        num_cached = engine.num_cached_blocks

        def deliver() -> None:
            for node in self._nodes:
                load = node.loads[engine.name]
                load.note_report(
                    load.num_reports + 1, at_s, num_requests, num_tokens, engine.tokens_per_s
                )
                node.reported_at_s[engine.name] = at_s
                node.num_cached_blocks[engine.name] = num_cached

        self._schedule(self._faults.report_lag_s, deliver)

    def _arrive(self, arrival: Arrival) -> None:
        shape = self._shape
        node = self._nodes[arrival.node]
        node.view.expire(self._now_s)
        chain: Sequence[BlockHash] = arrival.chain  # type: ignore[assignment]
        request = ChoiceRequest(
            request_id=RequestId(str(arrival.number)),
            tenant=TenantName(str(arrival.tenant)),
            block_hashes=chain,
            num_prompt_tokens=len(chain) * shape.tokens_per_block,
            tokens_per_block=float(shape.tokens_per_block),
        )
        candidates = self._candidates(node)
        choice = node.policy.choose(request, candidates, self._now_s, node.random)
        assert choice is not None
        node.policy.note_sent(request, choice.engine, self._now_s)
        num_missing = len(chain) - choice.num_matched_blocks
        node.loads[choice.engine].note_sent(
            (request.request_id, 0),
            num_missing * shape.tokens_per_block,
            self._now_s,
            shape.prefill_tokens_per_s,
        )
        self._requests[arrival.number] = request
        self._predicted[arrival.number] = choice.num_matched_blocks
        work = Work(arrival.number, arrival.node, arrival.chain, arrival.at_s, arrival.answer_s)
        engine = self._engines[choice.engine]
        delay_s = self._delay_s(node, engine)
        self._schedule(delay_s, lambda: self._reach(engine, work))
        self._tell_others(node, request, choice.engine, num_missing * shape.tokens_per_block)

    def _tell_others(
        self, sender: _Node, request: ChoiceRequest, engine: EngineName, num_missing_tokens: int
    ) -> None:
        """Let the other nodes learn of a send, unless it brings the engine little work."""
        if num_missing_tokens < self._faults.min_noted_tokens:
            return
        keys = keys_at(request.block_hashes, ladder_depths(len(request.block_hashes)))
        others = [node for node in self._nodes if node is not sender]
        self.num_note_bytes += len(others) * (len(keys) * KEY_BYTES + NOTE_OVERHEAD_BYTES)

        def deliver() -> None:
            for node in others:
                if self._random.random() >= self._faults.digest_loss:
                    node.noted.note(engine, keys, num_missing_tokens, self._now_s)

        self._schedule(self._faults.note_delay_s, deliver)

    def _candidates(self, node: _Node) -> list[EngineCandidate]:
        shape = self._shape
        candidates: list[EngineCandidate] = []
        for name, engine in self._engines.items():
            load = node.loads[name]
            num_outstanding = load.num_outstanding()
            num_tokens = load.num_waiting_prefill_tokens(self._now_s, engine.tokens_per_s)
            age_s = self._now_s - node.reported_at_s[name]
            if self._exact_loads:
                num_outstanding = engine.num_requests
                num_tokens = engine.waiting_tokens(self._now_s)
                age_s = 0.0
            candidates.append(
                EngineCandidate(
                    engine=name,
                    zone=ZoneName(str(self._zone(engine))),
                    role=EngineRole.BOTH,
                    incarnation=FIRST_INCARNATION,
                    weight_version=VERSION,
                    link_delay_s=self._delay_s(node, engine),
                    num_outstanding=num_outstanding,
                    num_waiting_prefill_tokens=num_tokens,
                    prefill_tokens_per_s=engine.tokens_per_s,
                    max_concurrent_requests=shape.max_concurrent_requests,
                    num_total_blocks=engine.num_total_blocks,
                    num_cached_blocks=node.num_cached_blocks[name],
                    report_age_s=age_s,
                )
            )
        return candidates

    def _zone(self, engine: EngineModel) -> int:
        return list(self._engines).index(engine.name) % self._shape.num_zones

    def _delay_s(self, node: _Node, engine: EngineModel) -> float:
        is_near = node.zone == self._zone(engine)
        return LOCAL_DELAY_S if is_near else self._shape.zone_delay_s

    def _reach(self, engine: EngineModel, work: Work) -> None:
        engine.add(work)
        self._start_next(engine)

    def _start_next(self, engine: EngineModel) -> None:
        duration_s = engine.start_next(self._now_s)
        if duration_s is not None:
            self._schedule(duration_s, lambda: self._finish_prefill(engine))

    def _finish_prefill(self, engine: EngineModel) -> None:
        work = engine.finish_prefill()
        node = self._nodes[work.node]
        first_token_s = self._now_s + self._delay_s(node, engine)
        self.served.append(
            Served(
                at_s=work.arrived_at_s,
                ttft_s=first_token_s - work.arrived_at_s,
                num_blocks=len(work.chain),
                num_cached_blocks=work.num_cached_blocks,
                num_again_blocks=work.num_again_blocks,
                num_predicted_blocks=self._predicted.pop(work.number),
            )
        )
        self._schedule(work.answer_s, lambda: self._finish(engine, work))
        self._start_next(engine)

    def _finish(self, engine: EngineModel, work: Work) -> None:
        engine.num_decoding -= 1
        node = self._nodes[work.node]
        request = self._requests.pop(work.number)
        duration_s = self._now_s - work.arrived_at_s
        node.loads[engine.name].note_ended((request.request_id, 0), duration_s)
        num_cached_tokens = work.num_cached_blocks * self._shape.tokens_per_block
        node.policy.note_finished(request, engine.name, num_cached_tokens, self._now_s)
