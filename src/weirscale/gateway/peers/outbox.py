"""Collects the gossip for a node's next message."""

from typing import TypeVar

from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.gossip_entries import (
    AnsweredBlockGossip,
    AnsweredGossip,
    BlocksCrashGossip,
    BrittleGossip,
    CanaryGossip,
    CrashGossip,
    EndedGossip,
    LeavingGossip,
    LimitGossip,
    LoadGossip,
    LoadingGossip,
    MovedGossip,
    SendGossip,
    SuspectGossip,
    UsageGossip,
)
from weirscale.gateway.peers.messages import Gossip

MAX_SENDS_PER_MESSAGE = 64
"""Maximum number of sent prompts in one message, which bounds the datagram's size; the oldest are
dropped."""

MAX_CRASHES_PER_MESSAGE = 64
"""Maximum number of crashes in one message, which bounds the datagram's size; the others wait for
the next message."""

MAX_ANSWERED_BLOCKS_PER_MESSAGE = 64
"""Maximum number of answered blocks in one message, which bounds the datagram's size; the others
wait for the next message."""

MAX_WAITING_CRASHES = 4096
"""Maximum number of queued crashes; beyond it, the oldest are dropped. So many crash at once only
if a whole region fails."""

KeyT = TypeVar("KeyT")
ItemT = TypeVar("ItemT")


class GossipOutbox:
    """Collects gossip until the next message is taken.

    Args:
        sender: Name of this node.
        group: The group whose loads and counts are sent, as in `Gossip.group`.
        sender_run: Identifier of this process, as in `Gossip.sender_run`.
    """

    def __init__(self, sender: str, group: str = "", sender_run: int = 0) -> None:
        self._sender = sender
        self._group = group
        self._sender_run = sender_run
        self._num_nodes = 1
        self._crashes: dict[tuple[str, str], CrashGossip] = {}
        self._blocks_crashes: dict[tuple[str, str], BlocksCrashGossip] = {}
        self._answered_blocks: dict[str, AnsweredBlockGossip] = {}
        self._clear()

    def _clear(self) -> None:
        """Start the next message; what did not fit into the last one is kept."""
        self._loads: dict[InstanceId, LoadGossip] = {}
        self._sends: list[SendGossip] = []
        self._loading: list[LoadingGossip] = []
        self._suspects: dict[InstanceId, SuspectGossip] = {}
        self._usage: dict[str, UsageGossip] = {}
        self._canary_counts: dict[tuple[int, str, InstanceId], CanaryGossip] = {}
        self._moved_nodes: dict[int, MovedGossip] = {}
        self._answered: dict[str, AnsweredGossip] = {}
        self._leaving: dict[str, LeavingGossip] = {}
        self._ended: dict[str, EndedGossip] = {}
        self._limits: dict[str, LimitGossip] = {}
        self._brittle: dict[str, BrittleGossip] = {}

    def add_usage(self, gossip: UsageGossip) -> None:
        """Add the usage of a tenant, replacing the queued one of the same tenant."""
        self._usage[gossip.tenant] = gossip

    def set_num_nodes(self, num_nodes: int) -> None:
        """Set the number of nodes that the usage covers."""
        self._num_nodes = num_nodes

    def add_canary_counts(self, gossip: CanaryGossip) -> None:
        """Add counts of a rollout, replacing the queued ones of the same back ends and route."""
        self._canary_counts[(gossip.epoch, gossip.route, gossip.instance)] = gossip

    def add_moved_nodes(self, gossip: MovedGossip) -> None:
        """Add the number of nodes that have moved, replacing the queued one of this rollout."""
        self._moved_nodes[gossip.epoch] = gossip

    def add_load(self, gossip: LoadGossip) -> None:
        """Add a load, replacing the queued one of the same back end."""
        self._loads[gossip.instance] = gossip

    def add_send(self, gossip: SendGossip) -> None:
        """Add a prompt that was sent or prefilled; the oldest are dropped if there are too many."""
        self._sends.append(gossip)
        del self._sends[:-MAX_SENDS_PER_MESSAGE]

    def add_loading(self, gossip: LoadingGossip) -> None:
        """Add an engine that is loading weights or has loaded them."""
        self._loading.append(gossip)

    def add_suspect(self, gossip: SuspectGossip) -> None:
        """Add an unreachable back end."""
        self._suspects[gossip.instance] = gossip

    def add_crash(self, gossip: CrashGossip) -> None:
        """Add a crash during a request; the oldest are dropped if there are too many."""
        self._crashes[(gossip.request, gossip.run)] = gossip
        _drop_excess(self._crashes)

    def add_answered(self, gossip: AnsweredGossip) -> None:
        """Add a request that was answered after back ends had crashed while serving it."""
        self._answered[gossip.request] = gossip

    def add_blocks_crash(self, gossip: BlocksCrashGossip) -> None:
        """Add a crash with prompt blocks; the oldest are dropped if there are too many."""
        self._blocks_crashes[(gossip.request, gossip.run)] = gossip
        _drop_excess(self._blocks_crashes)

    def add_answered_block(self, gossip: AnsweredBlockGossip) -> None:
        """Add an answered block; an answer since the crashes is not replaced by one before them."""
        queued = self._answered_blocks.get(gossip.block)
        if queued is None or queued.was_before:
            self._answered_blocks[gossip.block] = gossip
        _drop_excess(self._answered_blocks)

    def add_leaving(self, gossip: LeavingGossip) -> None:
        """Add a back end that is leaving."""
        self._leaving[gossip.run] = gossip

    def add_ended(self, gossip: EndedGossip) -> None:
        """Add a back end that has ended, because another run answered at its address."""
        self._ended[gossip.run] = gossip

    def add_limit(self, gossip: LimitGossip) -> None:
        """Add a request limit, replacing the queued one of the same run."""
        self._limits[gossip.run] = gossip

    def add_brittle(self, gossip: BrittleGossip) -> None:
        """Add a brittle back end; a queued refusal is not replaced by a mere statement."""
        queued = self._brittle.get(gossip.run)
        if queued is None or gossip.is_refusal or not queued.is_refusal:
            self._brittle[gossip.run] = gossip

    def take(self, group: str | None = None, with_empty: bool = False) -> Gossip | None:
        """Return the message and start the next one; None if the message would be empty.

        Args:
            group: The group whose loads and counts are sent; defaults to the outbox's own group.
            with_empty: Whether to return an empty message too, as a heartbeat.
        """
        if not with_empty and self._is_empty():
            return None
        gossip = Gossip(
            sender=self._sender,
            loads=tuple(self._loads.values()),
            sends=tuple(self._sends),
            loading=tuple(self._loading),
            suspects=tuple(self._suspects.values()),
            group=self._group if group is None else group,
            usage=tuple(self._usage.values()),
            num_nodes=self._num_nodes,
            canary_counts=tuple(self._canary_counts.values()),
            moved_nodes=tuple(self._moved_nodes.values()),
            sender_run=self._sender_run,
            crashes=_take(self._crashes, MAX_CRASHES_PER_MESSAGE),
            answered=tuple(self._answered.values()),
            leaving=tuple(self._leaving.values()),
            ended=tuple(self._ended.values()),
            limits=tuple(self._limits.values()),
            brittle=tuple(self._brittle.values()),
            blocks_crashes=_take(self._blocks_crashes, MAX_CRASHES_PER_MESSAGE),
            answered_blocks=_take(self._answered_blocks, MAX_ANSWERED_BLOCKS_PER_MESSAGE),
        )
        self._clear()
        return gossip

    def _is_empty(self) -> bool:
        return not (
            self._loads
            or self._sends
            or self._loading
            or self._suspects
            or self._usage
            or self._canary_counts
            or self._moved_nodes
            or self._crashes
            or self._answered
            or self._leaving
            or self._ended
            or self._limits
            or self._brittle
            or self._blocks_crashes
            or self._answered_blocks
        )


def _drop_excess(waiting: dict[KeyT, ItemT]) -> None:
    if len(waiting) > MAX_WAITING_CRASHES:
        del waiting[next(iter(waiting))]


def _take(waiting: dict[KeyT, ItemT], num: int) -> tuple[ItemT, ...]:
    taken = list(waiting)[:num]
    return tuple(waiting.pop(key) for key in taken)
