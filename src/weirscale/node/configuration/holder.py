"""The configuration of a node, with recent revisions to answer peers with deltas.

Only `ConfigurationTask` applies revisions; all others read them. A revision is applied only if it
is higher than the one in force, so a node never returns to an older configuration.
"""

from collections import OrderedDict

import anyio

from weirscale.domain.configuration.difference import apply_delta, delta_between, digest
from weirscale.domain.configuration.encode import (
    decode_delta,
    decode_deployment,
    encode_delta,
    encode_deployment,
)
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.messages.configuration import NO_BASE_REVISION, ConfigurationReply
from weirscale.node.interfaces import ConfigurationInForce

MAX_KEPT_REVISIONS = 32
"""Number of revisions that a delta can start from; they share unchanged items in memory."""


class ConfigurationHolder:
    """Implements `ConfigurationView`.

    Attributes:
        highest_known: Highest revision reported by a peer or the store.
    """

    def __init__(self) -> None:
        self.highest_known = NO_BASE_REVISION
        self._current: ConfigurationInForce | None = None
        self._digest = b""
        self._kept: OrderedDict[ConfigurationRevision, Deployment] = OrderedDict()
        self._replies: dict[ConfigurationRevision, ConfigurationReply] = {}
        self._changed = anyio.Event()

    @property
    def revision(self) -> ConfigurationRevision:
        """The revision in force; 0 if there is none."""
        return self._current.revision if self._current is not None else NO_BASE_REVISION

    def current(self) -> ConfigurationInForce | None:
        """Return the configuration in force, or None before the first one arrives."""
        return self._current

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait until a revision higher than the given one (0 for any) is in force; return it."""
        while self._current is None or self._current.revision <= revision:
            await self._changed.wait()
        return self._current

    def record_revision(self, revision: ConfigurationRevision) -> bool:
        """Record that a revision exists; return whether it is higher than the one in force."""
        self.highest_known = max(self.highest_known, revision)
        return revision > self.revision

    def apply(self, revision: ConfigurationRevision, deployment: Deployment) -> bool:
        """Apply a canonical deployment if its revision is higher; return whether it was applied."""
        if not self.record_revision(revision):
            return False
        if self._current is not None:
            # Reuse unchanged items, so that a kept revision takes a fraction of its full size.
            before = self._current.deployment
            deployment = apply_delta(before, delta_between(before, deployment))
        self._current = ConfigurationInForce(revision, deployment)
        self._digest = digest(deployment)
        self._kept[revision] = deployment
        if len(self._kept) > MAX_KEPT_REVISIONS:
            self._kept.popitem(last=False)
        self._replies.clear()
        self._changed.set()
        self._changed = anyio.Event()
        return True

    def reply_to(self, have_revision: ConfigurationRevision) -> ConfigurationReply:
        """Return the reply to a peer's fetch: empty, a delta or the full configuration.

        Replies are cached until the next revision.
        """
        if self._current is None or have_revision >= self.revision:
            return ConfigurationReply(self.revision, NO_BASE_REVISION, self._digest, b"")
        base = have_revision if have_revision in self._kept else NO_BASE_REVISION
        if base not in self._replies:
            self._replies[base] = self._make_reply(base, self._current)
        return self._replies[base]

    def read_reply(self, reply: ConfigurationReply) -> Deployment | str:
        """Decode the deployment in a peer's reply; return a text with the reason on failure."""
        if reply.base_revision == NO_BASE_REVISION:
            whole = decode_deployment(reply.payload)
            if whole.is_err():
                return whole.unwrap_err().detail
            deployment = whole.unwrap()
        else:
            base = self._kept.get(reply.base_revision)
            if base is None:
                return f"revision {reply.base_revision} is no longer kept; fetch it in full"
            delta = decode_delta(reply.payload)
            if delta.is_err():
                return delta.unwrap_err().detail
            deployment = apply_delta(base, delta.unwrap())
        if digest(deployment) != reply.digest:
            return "the result does not match the digest in the reply; fetch it in full"
        return deployment

    def _make_reply(
        self, base: ConfigurationRevision, current: ConfigurationInForce
    ) -> ConfigurationReply:
        if base == NO_BASE_REVISION:
            payload = encode_deployment(current.deployment)
        else:
            payload = encode_delta(delta_between(self._kept[base], current.deployment))
        return ConfigurationReply(current.revision, base, self._digest, payload)
