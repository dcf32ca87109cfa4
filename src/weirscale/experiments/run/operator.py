"""Simulated operator of a virtual fleet, who applies configurations."""

from collections.abc import Callable
from random import Random

import anyio
from result import Ok

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.experiments.history.records import ConfigurationAccepted
from weirscale.experiments.run.recorder import Recorder
from weirscale.node.configuration.apply import Applier, read_current
from weirscale.node.configuration.outcome import Accepted, ApplyOutcome
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

READ_RETRY_S = 0.5
MAX_READS = 60

Change = Callable[[Deployment], Deployment]
"""Returns a changed copy of the declared deployment."""


class Operator:
    """Applies configurations with the real `Applier` and records accepted revisions.

    Args:
        store: The key-value service.
        recorder: Receives the accepted revisions.
        random: Source of the jitter of waits and of apply ids.
    """

    def __init__(self, store: KeyValueServer, recorder: Recorder, random: Random) -> None:
        self._port = InProcessKeyValue(store)
        self._recorder = recorder
        self._random = random
        self._num_applied = 0

    async def declare(self, deployment: Deployment) -> ApplyOutcome:
        """Apply the first configuration, to an empty store."""
        return await self._apply(deployment, None)

    async def change(self, change: Change, thinking_s: float = 0.0) -> ApplyOutcome | None:
        """Read the declared deployment, change it and apply it; return None if reading failed.

        Args:
            change: Returns the changed deployment.
            thinking_s: Delay between reading and applying, in which others can apply changes.
        """
        for _ in range(MAX_READS):
            current = await read_current(self._port)
            if isinstance(current, Ok) and current.ok_value.stored is not None:
                deployment = change(current.ok_value.stored.deployment)
                await anyio.sleep(thinking_s)
                return await self._apply(deployment, current.ok_value.revision)
            await anyio.sleep(READ_RETRY_S)
        return None

    async def _apply(self, deployment: Deployment, made_from: int | None) -> ApplyOutcome:
        self._num_applied += 1
        apply_id = f"apply-{self._num_applied}-{self._random.getrandbits(32):08x}"
        applier = Applier(self._port, deployment, made_from, apply_id, self._random)
        outcome = await applier.run()
        if isinstance(outcome, Accepted):
            accepted = ConfigurationAccepted(
                at_s=self._recorder.now(), revision=ConfigurationRevision(outcome.revision)
            )
            self._recorder.add(accepted)
        return outcome
