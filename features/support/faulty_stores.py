"""Kept-KV and weight store stand-ins that can fail and stall."""

import anyio
from result import Err

from weirscale.standins.faults import Faults, FaultSwitch
from weirscale.standins.kept_kv.in_process import InProcessKeptKvStore
from weirscale.standins.weight_store.in_process import InProcessWeightStore


class StoreFaults(Faults, frozen=True, kw_only=True):
    """Faults of a kept-KV or weight store; by default there are none.

    `is_dead`: every call fails at once; `is_stalled`: no call is answered; `delay_s`: every call
    takes this many seconds longer.
    """

    is_dead: bool = False
    is_stalled: bool = False
    delay_s: float = 0.0


async def apply_faults(switch):
    """Apply the faults to one call: return its failure or None; it may stall or be delayed."""
    faults = switch.faults_for_call()
    if faults.is_dead:
        return Err("the store is down")
    if faults.is_stalled:
        await anyio.sleep_forever()
    await anyio.sleep(faults.delay_s)
    return None


class FaultyKeptKvStore(InProcessKeptKvStore):
    def __init__(self, settings):
        super().__init__(settings)
        self.faults = FaultSwitch(StoreFaults())

    async def import_blocks(self, block_hashes):
        return await apply_faults(self.faults) or await super().import_blocks(block_hashes)

    async def export_blocks(self, block_hashes):
        return await apply_faults(self.faults) or await super().export_blocks(block_hashes)


class FaultyWeightStore(InProcessWeightStore):
    def __init__(self, settings, broken_versions=()):
        super().__init__(settings, broken_versions)
        self.faults = FaultSwitch(StoreFaults())

    async def fetch(self, engine, load, num_bytes):
        return await apply_faults(self.faults) or await super().fetch(engine, load, num_bytes)
