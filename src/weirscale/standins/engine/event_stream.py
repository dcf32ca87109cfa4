"""Stream of an engine's cache events to one follower, with injected delays and gaps."""

from collections.abc import AsyncGenerator
from random import Random

import anyio
from result import Err, Ok, Result

from weirscale.domain.identifiers import Incarnation
from weirscale.messages.cache import CacheEventBatch
from weirscale.ports.engine import EngineFailure, EngineFailureKind
from weirscale.standins.engine.event_log import EventLog
from weirscale.standins.engine.model import EngineModel
from weirscale.standins.faults import EngineFaults, FaultSwitch


async def follow_events(
    model: EngineModel,
    faults: FaultSwitch[EngineFaults],
    random: Random,
    incarnation: Incarnation | None,
    after_sequence: int,
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    """Iterate over the batches after a sequence number.

    The iteration ends with a failure when the incarnation ends, or when the next batch is no longer
    in the replay window.
    """
    events = model.events
    if incarnation not in (None, model.incarnation):
        yield Err(_not_found(f"incarnation is {model.incarnation}"))
        return
    sequence = after_sequence
    while True:
        if not events.can_replay_after(sequence):
            yield Err(_not_found(f"batch {sequence + 1} is not in the replay window"))
            return
        published = events.batch_after(sequence)
        if published is None:
            if model.events is not events:
                yield Err(EngineFailure(EngineFailureKind.BROKEN, "the engine's run has ended"))
                return
            await _wait_for_batch(events)
            continue
        sequence += 1
        lag_s = model.settings.event_lag_s + faults.current.event_delay_s
        await anyio.sleep(max(0.0, published.published_at_s + lag_s - anyio.current_time()))
        probability = faults.current.drop_event_probability
        if not probability or random.random() >= probability:
            yield Ok(published.batch)


async def _wait_for_batch(events: EventLog) -> None:
    changed = anyio.Event()
    events.listeners.append(changed.set)
    await changed.wait()


def _not_found(detail: str) -> EngineFailure:
    return EngineFailure(EngineFailureKind.NOT_FOUND, f"{detail}; read the dump")
