"""Task that announces this node's sends to other nodes and records the sends they announce."""

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
"""Limit on the prefix keys in a send notice, so that it fits one cast; deeper prefixes are omitted.
Only prompts of more than 10^13 blocks reach this limit."""


class _NoteArrived(msgspec.Struct, frozen=True):
    note: SendNote


class SendNotesTask:
    """Owns `peer_sends`, which the policy reads on the same event loop.

    Args:
        link: Sends and receives send notices.
        receivers: Returns the other nodes that choose among the same engines.
        rules: Budget for send notices.
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
        self._mailbox: Mailbox[SendNote | _NoteArrived] = Mailbox()
        link.on_cast(SendNote, self._receive_note)

    def announce_send(
        self, request: ChoiceRequest, engine: EngineName, num_missing_tokens: int
    ) -> None:
        """Announce a send to other nodes if it misses enough tokens in the cache; never waits."""
        if num_missing_tokens < self._rules.min_announced_tokens:
            return
        depths = ladder_depths(len(request.block_hashes))[:MAX_NOTE_KEYS]
        keys = keys_at(request.block_hashes, depths)
        self._post(SendNote(engine, num_missing_tokens, pack_keys(keys)))

    async def run(self) -> None:
        """Send notices, and record those of other nodes, until cancelled."""
        while True:
            message = await self._mailbox.receive()
            now_s = anyio.current_time()
            if isinstance(message, _NoteArrived):
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

    def _receive_note(self, source: NodeAddress, message: msgspec.Struct) -> None:
        assert isinstance(message, SendNote)
        self._post(_NoteArrived(message))

    def _post(self, message: SendNote | _NoteArrived) -> None:
        if not self._mailbox.post(message):
            # Only a hint: without it, another node may have the prefix computed again.
            self.num_unsent += 1
