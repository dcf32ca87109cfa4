"""Stand-in of a model runner that reads prompts in pieces between the tokens of its streams.

Each step reads at most `CHUNK_TOKENS` of the prompts that wait, the more urgent first, and makes one
token of every stream. So a runner that reads without end makes its streams pause. Shared parts that
it has read before are not read again.
"""

from dataclasses import dataclass, field

import anyio
import httpx

from features.support.platform_runner import RunnerStandIn

CHUNK_TOKENS = 4096
STEP_S = 0.004
EVENT_TOKENS = 6
"""Tokens of one event, but for the first, which is made with the first token."""


@dataclass(eq=False)
class Job:
    """One run: a prompt to read, then tokens to make."""

    request_id: str
    priority: int
    left_to_read: int
    left_to_make: int
    arrival: int
    parts: tuple
    num_made: int = 0
    num_events: int = 0
    is_done: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class ReadingRunner(RunnerStandIn):
    """A runner with a batch; `work` must be running."""

    tokens_per_s: float = 10_000.0
    jobs: list = field(default_factory=list)
    kept: set = field(default_factory=set)
    num_arrived: int = 0
    woken: anyio.Event = field(default_factory=anyio.Event)

    async def work(self):
        """Step until cancelled."""
        while True:
            if not self.jobs:
                self.woken = anyio.Event()
                await self.woken.wait()
            await self._step()

    async def _step(self):
        budget = CHUNK_TOKENS
        readers = sorted(
            (job for job in self.jobs if job.left_to_read > 0),
            key=lambda job: (job.priority, job.arrival),
        )
        for job in readers:
            num_read = min(budget, job.left_to_read)
            job.left_to_read -= num_read
            budget -= num_read
        await anyio.sleep(STEP_S + (CHUNK_TOKENS - budget) / self.tokens_per_s)
        for job in [job for job in self.jobs if job.left_to_read == 0]:
            self._make_token(job)

    def _make_token(self, job):
        job.num_made += 1
        job.left_to_make -= 1
        self.kept.update(job.parts)
        if job.num_made == 1 or job.num_made % EVENT_TOKENS == 0 or job.left_to_make == 0:
            job.num_events += 1
            job.is_done = job.left_to_make == 0
            changed, job.changed = job.changed, anyio.Event()
            changed.set()
        if job.left_to_make == 0:
            self.jobs.remove(job)

    async def _run(self, request, request_id, fault):
        answer = await super()._run(request, request_id, fault)
        salt = request.headers.get("x-cache-salt")
        parts = [one.split(":") for one in request.headers["x-prefix-hash"].split(",")]
        shared = [((salt, name), int(tokens)) for name, tokens in parts[:-1]]
        to_read = int(parts[-1][1]) + sum(n for key, n in shared if key not in self.kept)
        self.num_arrived += 1
        job = Job(
            request_id,
            int(request.headers.get("x-request-priority", 5)),
            to_read,
            int(request.headers["x-token-usage"].split(",")[1]),
            self.num_arrived,
            tuple(key for key, _ in shared),
        )
        answer.stream = JobEvents(self, job)
        self.jobs.append(job)
        self.woken.set()
        return answer


@dataclass
class FetchingRunner(ReadingRunner):
    """A reading runner that fetches shared parts from the source that a request names.

    By the published protocol it takes what that source keeps, and reads the rest. A fetch takes
    no time here; of `fetch_each` requests only the last one fetches.
    """

    others: dict = field(default_factory=dict)
    """Runners by address, from which it may fetch."""
    fetch_each: int = 1
    num_named: int = 0

    async def _run(self, request, request_id, fault):
        source = self.others.get(request.headers.get("x-kv-source"))
        if source is not None:
            self.num_named += 1
            if self.num_named % self.fetch_each == 0:
                salt = request.headers.get("x-cache-salt")
                parts = [one.split(":") for one in request.headers["x-prefix-hash"].split(",")]
                self.kept.update({(salt, name) for name, _ in parts[:-1]} & source.kept)
        return await super()._run(request, request_id, fault)


class JobEvents(httpx.AsyncByteStream):
    """The events of a job as they are made."""

    def __init__(self, runner, job):
        self._runner = runner
        self._job = job

    async def __aiter__(self):
        told = 0
        try:
            while True:
                while told < self._job.num_events:
                    told += 1
                    yield f"id: {told}\ndata: token-{told}\n\n".encode()
                if self._job.is_done:
                    return
                await self._job.changed.wait()
        finally:
            if self._job in self._runner.jobs:
                self._runner.jobs.remove(self._job)
