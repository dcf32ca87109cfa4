"""Stand-in of an engine with chunked prefill: it prefills prompts between the tokens of its streams.

Each step prefills at most `CHUNK_TOKENS` of the waiting prompts, the most urgent first, and generates
one token for every stream. Streams therefore pause while the engine prefills without interruption.
Shared blocks of a prompt that were prefilled before are cached and not prefilled again.
"""

from dataclasses import dataclass, field

import anyio
import httpx

from features.support.platform_runner import RunnerStandIn

CHUNK_TOKENS = 4096
STEP_S = 0.004
EVENT_TOKENS = 6
"""Tokens per event, except for the first event, which is emitted with the first token."""


@dataclass(eq=False)
class Job:
    """One run: a prompt to prefill, then tokens to generate."""

    request_id: str
    priority: int
    prefill_left: int
    num_tokens_left: int
    arrival: int
    block_keys: tuple
    num_generated: int = 0
    num_events: int = 0
    is_done: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class PrefillRunner(RunnerStandIn):
    """An engine that serves all its requests in one batch; `work` must be running."""

    tokens_per_s: float = 10_000.0
    jobs: list = field(default_factory=list)
    cached_keys: set = field(default_factory=set)
    num_arrived: int = 0
    woken: anyio.Event = field(default_factory=anyio.Event)

    async def work(self):
        """Run steps until cancelled."""
        while True:
            if not self.jobs:
                self.woken = anyio.Event()
                await self.woken.wait()
            await self._step()

    async def _step(self):
        budget = CHUNK_TOKENS
        prefilling = sorted(
            (job for job in self.jobs if job.prefill_left > 0),
            key=lambda job: (job.priority, job.arrival),
        )
        for job in prefilling:
            num_prefilled = min(budget, job.prefill_left)
            job.prefill_left -= num_prefilled
            budget -= num_prefilled
        await anyio.sleep(STEP_S + (CHUNK_TOKENS - budget) / self.tokens_per_s)
        for job in [job for job in self.jobs if job.prefill_left == 0]:
            self._generate_token(job)

    def _generate_token(self, job):
        job.num_generated += 1
        job.num_tokens_left -= 1
        self.cached_keys.update(job.block_keys)
        if (
            job.num_generated == 1
            or job.num_generated % EVENT_TOKENS == 0
            or job.num_tokens_left == 0
        ):
            job.num_events += 1
            job.is_done = job.num_tokens_left == 0
            changed, job.changed = job.changed, anyio.Event()
            changed.set()
        if job.num_tokens_left == 0:
            self.jobs.remove(job)

    async def _run(self, request, request_id, fault):
        answer = await super()._run(request, request_id, fault)
        salt = request.headers.get("x-cache-salt")
        blocks = [block.split(":") for block in request.headers["x-prefix-hash"].split(",")]
        shared = [((salt, name), int(tokens)) for name, tokens in blocks[:-1]]
        to_prefill = int(blocks[-1][1]) + sum(n for key, n in shared if key not in self.cached_keys)
        self.num_arrived += 1
        job = Job(
            request_id,
            int(request.headers.get("x-request-priority", 5)),
            to_prefill,
            int(request.headers["x-token-usage"].split(",")[1]),
            self.num_arrived,
            tuple(key for key, _ in shared),
        )
        answer.stream = JobEvents(self, job)
        self.jobs.append(job)
        self.woken.set()
        return answer


@dataclass
class FetchingRunner(PrefillRunner):
    """An engine that also fetches shared blocks from the source that a request names.

    By the published protocol, it fetches the blocks that the source caches and prefills the rest. A
    fetch takes no time here. Only the last of every `fetch_each` requests with a source fetches.
    """

    others: dict = field(default_factory=dict)
    """Engines that this one may fetch from, by address."""
    fetch_each: int = 1
    num_with_source: int = 0

    async def _run(self, request, request_id, fault):
        source = self.others.get(request.headers.get("x-kv-source"))
        if source is not None:
            self.num_with_source += 1
            if self.num_with_source % self.fetch_each == 0:
                salt = request.headers.get("x-cache-salt")
                blocks = [block.split(":") for block in request.headers["x-prefix-hash"].split(",")]
                self.cached_keys.update(
                    {(salt, name) for name, _ in blocks[:-1]} & source.cached_keys
                )
        return await super()._run(request, request_id, fault)


class JobEvents(httpx.AsyncByteStream):
    """Streams the events of a job as they are generated."""

    def __init__(self, runner, job):
        self._runner = runner
        self._job = job

    async def __aiter__(self):
        num_sent = 0
        try:
            while True:
                while num_sent < self._job.num_events:
                    num_sent += 1
                    yield f"id: {num_sent}\ndata: token-{num_sent}\n\n".encode()
                if self._job.is_done:
                    return
                await self._job.changed.wait()
        finally:
            if self._job in self._runner.jobs:
                self._runner.jobs.remove(self._job)
