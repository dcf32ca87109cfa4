"""The task that tells other nodes of this node's sends, and takes in what they tell."""

from collections.abc import Callable, Sequence

import anyio
import msgspec

from weirscale.domain.choice.peer_sends import PeerSends
from weirscale.domain.choice.policy import ChoiceRequest
from weirscale.domain.choice.recent_sends import keys_at, ladder_depths
from weirscale.domain.identifiers import EngineName, NodeAddress
from weirscale.domain.prefix.note_budget import NoteBudget
from weirscale.messages.digest import SendNote, pack_keys, unpack_keys
from weirscale.node.home.rules import HomeRules
from weirscale.node.mailbox import Mailbox
from weirscale.node.peers.link import PeerLink

MAX_NOTE_KEYS = 180
"""Deeper steps of the ladder are left out, so that a note fits one cast; reached by no prompt
below 10^13 blocks."""


class _Arrived(msgspec.Struct, frozen=True):
    note: SendNote


class SendNotesTask:
    """Owns `peer_sends`, which the policy of the same event loop reads.

    Args:
        link: Carries notes.
        receivers: The other nodes that choose among the same engines.
        rules: Budget for notes.
    """

    def __init__(
        self,
        link: PeerLink,
        receivers: Callable[[], Sequence[NodeAddress]],
        rules: HomeRules,
    ) -> None:
        self.peer_sends = PeerSends()
        self.num_unsent = 0
        self._link = link
        self._receivers = receivers
        self._rules = rules
        self._budget = NoteBudget(rules.note_bytes_per_s)
        self._mailbox: Mailbox[SendNote | _Arrived] = Mailbox()
        link.on_cast(SendNote, self._note_arrived)

    def announce_send(
        self, request: ChoiceRequest, engine: EngineName, num_missing_tokens: int
    ) -> None:
        """Tell the others of a send, if it is worth it; never waits."""
        if num_missing_tokens < self._rules.min_announced_tokens:
            return
        depths = ladder_depths(len(request.block_hashes))[:MAX_NOTE_KEYS]
        keys = keys_at(request.block_hashes, depths)
        self._post(SendNote(engine, num_missing_tokens, pack_keys(keys)))

    async def run(self) -> None:
        """Send and take in notes until cancelled."""
        while True:
            message = await self._mailbox.receive()
            now_s = anyio.current_time()
            if isinstance(message, _Arrived):
                note = message.note
                keys = unpack_keys(note.keys)
                self.peer_sends.record(note.engine, keys, note.num_missing_tokens, now_s)
            else:
                await self._send(message, now_s)

    async def _send(self, note: SendNote, now_s: float) -> None:
        receivers = self._receivers()
        if not self._budget.may_send(len(note.keys), len(receivers), now_s):
            self.num_unsent += 1
            return
        for address in receivers:
            await self._link.cast(address, note)

    def _note_arrived(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, SendNote)
        self._post(_Arrived(message))

    def _post(self, message: SendNote | _Arrived) -> None:
        if not self._mailbox.post(message):
            # A hint only: without it another node may compute the prefix again.
            self.num_unsent += 1
