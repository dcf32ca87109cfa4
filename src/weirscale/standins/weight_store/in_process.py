"""Weight store that limits the rate of new reads and shares its bandwidth among running ones."""

from collections.abc import Collection

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import EngineName, ModelName, WeightVersion
from weirscale.ports.engine import LoadModel

DONE_BYTES = 1024.0
"""Less than this left is rounding: the read is complete."""


class WeightStoreSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a stand-in store is like.

    Attributes:
        bytes_per_s: Bandwidth that all reads share evenly.
        min_start_interval_s: Rate limit: reads begin at least this far apart, later ones wait.
    """

    bytes_per_s: float = 1_000_000_000.0
    min_start_interval_s: float = 0.0


class WeightLoad(msgspec.Struct):
    """One read of one version by one engine.

    Attributes:
        engine: Who reads.
        model: Model read.
        weight_version: Version read.
        num_bytes_left: Bytes still to read.
        started_at_s: When it began.
        finished_at_s: When it ended, None while it runs.
    """

    engine: EngineName
    model: ModelName
    weight_version: WeightVersion
    num_bytes_left: float
    started_at_s: float
    finished_at_s: float | None = None


class InProcessWeightStore:
    """A store in the caller's own process; a `WeightSource` for stand-in engines."""

    def __init__(
        self, settings: WeightStoreSettings, broken_versions: Collection[WeightVersion] = ()
    ) -> None:
        """Make a store.

        Args:
            settings: Rates.
            broken_versions: Versions whose reads fail at their end.
        """
        self.settings = settings
        self.broken_versions = set(broken_versions)
        self.loads: list[WeightLoad] = []
        self._running: list[WeightLoad] = []
        self._changed = anyio.Event()
        self._advanced_at_s = 0.0
        self._next_start_s = 0.0

    async def fetch(self, engine: EngineName, load: LoadModel, num_bytes: int) -> Result[None, str]:
        """Read all weights; takes as long as the reading does."""
        await self._wait_for_start()
        now_s = anyio.current_time()
        read = WeightLoad(engine, load.model, load.weight_version, float(num_bytes), now_s)
        self.loads.append(read)
        try:
            await self._read(read)
        finally:
            self._remove(read)
        if load.weight_version in self.broken_versions:
            return Err(f"version {load.weight_version} is damaged; roll back")
        return Ok(None)

    async def _wait_for_start(self) -> None:
        now_s = anyio.current_time()
        start_s = max(now_s, self._next_start_s)
        self._next_start_s = start_s + self.settings.min_start_interval_s
        await anyio.sleep(start_s - now_s)

    async def _read(self, read: WeightLoad) -> None:
        self._advance()
        self._running.append(read)
        self._notify()
        while True:
            self._advance()
            if read.num_bytes_left <= DONE_BYTES:
                return
            changed = self._changed
            share = self.settings.bytes_per_s / len(self._running)
            with anyio.move_on_after(read.num_bytes_left / share):
                await changed.wait()

    def _remove(self, read: WeightLoad) -> None:
        self._advance()
        if read in self._running:
            self._running.remove(read)
        read.finished_at_s = anyio.current_time()
        self._notify()

    def _advance(self) -> None:
        """Give every running read its even share of the time since the last call."""
        now_s = anyio.current_time()
        elapsed_s = now_s - self._advanced_at_s
        self._advanced_at_s = now_s
        if not self._running:
            return
        num_bytes = elapsed_s * self.settings.bytes_per_s / len(self._running)
        for read in self._running:
            read.num_bytes_left -= num_bytes

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
