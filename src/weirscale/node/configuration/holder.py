"""The configuration that a node holds, with enough of its past to answer peers with deltas.

Only `ConfigurationTask` offers revisions; all others read. A revision is taken only when it is
higher than the one in force, so what a node acts on never goes back.
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
"""Past revisions from which a delta can be made; they share the items that did not change."""


class ConfigurationHolder:
    """Implements `ConfigurationView`.

    Attributes:
        highest_known: Highest revision that a peer or the store has told of.
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
        """The revision in force, 0 for none."""
        return self._current.revision if self._current is not None else NO_BASE_REVISION

    def current(self) -> ConfigurationInForce | None:
        """The configuration in force, or None before the first one arrives."""
        return self._current

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait for a revision higher than the given one (0 for any)."""
        while self._current is None or self._current.revision <= revision:
            await self._changed.wait()
        return self._current

    def hear_of(self, revision: ConfigurationRevision) -> bool:
        """Note that a revision exists; True if it is higher than the one in force."""
        self.highest_known = max(self.highest_known, revision)
        return revision > self.revision

    def take(self, revision: ConfigurationRevision, deployment: Deployment) -> bool:
        """Put a canonical deployment in force if its revision is higher; False otherwise."""
        if not self.hear_of(revision):
            return False
        if self._current is not None:
            # Reuses the unchanged items, so that kept revisions cost a fraction of a whole one.
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
        """Answer a peer's fetch: nothing, a delta, or the whole; kept until the next change."""
        if self._current is None or have_revision >= self.revision:
            return ConfigurationReply(self.revision, NO_BASE_REVISION, self._digest, b"")
        base = have_revision if have_revision in self._kept else NO_BASE_REVISION
        if base not in self._replies:
            self._replies[base] = self._make_reply(base, self._current)
        return self._replies[base]

    def read_reply(self, reply: ConfigurationReply) -> Deployment | str:
        """Make the deployment that a peer's reply carries, or tell why it cannot be made."""
        if reply.base_revision == NO_BASE_REVISION:
            whole = decode_deployment(reply.payload)
            if whole.is_err():
                return whole.unwrap_err().detail
            deployment = whole.unwrap()
        else:
            base = self._kept.get(reply.base_revision)
            if base is None:
                return f"revision {reply.base_revision} is no longer kept; fetch the whole"
            delta = decode_delta(reply.payload)
            if delta.is_err():
                return delta.unwrap_err().detail
            deployment = apply_delta(base, delta.unwrap())
        if digest(deployment) != reply.digest:
            return "the result does not have the digest sent with it; fetch the whole"
        return deployment

    def _make_reply(
        self, base: ConfigurationRevision, current: ConfigurationInForce
    ) -> ConfigurationReply:
        if base == NO_BASE_REVISION:
            payload = encode_deployment(current.deployment)
        else:
            payload = encode_delta(delta_between(self._kept[base], current.deployment))
        return ConfigurationReply(current.revision, base, self._digest, payload)
