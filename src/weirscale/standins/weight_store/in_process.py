"""Weight store that limits the rate of new reads and shares its bandwidth among current reads."""

from collections.abc import Collection

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import EngineName, ModelName, WeightVersion
from weirscale.ports.engine import LoadModel

ROUNDING_TOLERANCE_BYTES = 1024.0
"""A read with at most this many bytes left is complete: the rest is a rounding error."""


class WeightStoreSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Properties of a stand-in weight store.

    Attributes:
        bytes_per_s: Bandwidth that all reads share evenly.
        min_start_interval_s: Minimum interval between the starts of two reads; later reads wait.
    """

    bytes_per_s: float = 1_000_000_000.0
    min_start_interval_s: float = 0.0


class WeightLoad(msgspec.Struct):
    """One read of one version by one engine.

    Attributes:
        engine: Engine that reads.
        model: Model whose weights are read.
        weight_version: Version that is read.
        num_bytes_left: Bytes still to read.
        started_at_s: When the read began.
        finished_at_s: When the read ended, None while it runs.
    """

    engine: EngineName
    model: ModelName
    weight_version: WeightVersion
    num_bytes_left: float
    started_at_s: float
    finished_at_s: float | None = None


class InProcessWeightStore:
    """An in-process store; a `WeightSource` for stand-in engines."""

    def __init__(
        self, settings: WeightStoreSettings, broken_versions: Collection[WeightVersion] = ()
    ) -> None:
        """Create a store.

        Args:
            settings: Bandwidth and rate limit.
            broken_versions: Versions whose reads fail when they end.
        """
        self.settings = settings
        self.broken_versions = set(broken_versions)
        self.loads: list[WeightLoad] = []
        self._running: list[WeightLoad] = []
        self._changed = anyio.Event()
        self._advanced_at_s = 0.0
        self._next_start_s = 0.0

    async def fetch(self, engine: EngineName, load: LoadModel, num_bytes: int) -> Result[None, str]:
        """Read all weights; return once the read has ended."""
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
            if read.num_bytes_left <= ROUNDING_TOLERANCE_BYTES:
                return
            changed = self._changed
            share_bytes_per_s = self.settings.bytes_per_s / len(self._running)
            with anyio.move_on_after(read.num_bytes_left / share_bytes_per_s):
                await changed.wait()

    def _remove(self, read: WeightLoad) -> None:
        self._advance()
        if read in self._running:
            self._running.remove(read)
        read.finished_at_s = anyio.current_time()
        self._notify()

    def _advance(self) -> None:
        """Credit all current reads with their equal share of the bandwidth since the last call."""
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
