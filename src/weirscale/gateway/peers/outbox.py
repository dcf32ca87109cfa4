"""Gathers what a node is to tell others, until the next message."""

from weirscale.gateway.peers.messages import (
    AnsweredGossip,
    CanaryGossip,
    CrashGossip,
    Gossip,
    LoadGossip,
    LoadingGossip,
    MovedGossip,
    SendGossip,
    SuspectGossip,
    UsageGossip,
)

MAX_SENDS_A_MESSAGE = 64
MAX_CRASHES_A_MESSAGE = 64
"""The others wait for the next message."""

MAX_WAITING_CRASHES = 4096
"""Beyond it the oldest are dropped: more crash at once only where a region is lost."""


class GossipOutbox:
    """Gathers what is to be told, until the next message.

    Args:
        sender: This node.
        group: Whose news it is, as `Gossip.group` tells.
    """

    def __init__(self, sender: str, group: str = "") -> None:
        self._sender = sender
        self._group = group
        self._loads: dict[str, LoadGossip] = {}
        self._sends: list[SendGossip] = []
        self._loading: list[LoadingGossip] = []
        self._suspects: dict[str, SuspectGossip] = {}
        self._usage: dict[str, UsageGossip] = {}
        self._num_nodes = 1
        self._trials: dict[tuple[int, str, str], CanaryGossip] = {}
        self._moved: dict[int, MovedGossip] = {}
        self._crashes: dict[tuple[str, str], CrashGossip] = {}
        self._answered: dict[str, AnsweredGossip] = {}
        self.run = 0
        """Told along: counts of one run of a process begin anew with the next."""

    def add_usage(self, gossip: UsageGossip) -> None:
        """Tell what a tenant spends; replaces what was to be told of it."""
        self._usage[gossip.tenant] = gossip

    def set_num_nodes(self, num_nodes: int) -> None:
        """Set of how many nodes the usage is."""
        self._num_nodes = num_nodes

    def add_trials(self, gossip: CanaryGossip) -> None:
        """Tell counts of a rollout; replaces what was to be told of them."""
        self._trials[(gossip.epoch, gossip.route, gossip.instance)] = gossip

    def add_moved(self, gossip: MovedGossip) -> None:
        """Tell how many nodes have moved; replaces what was to be told."""
        self._moved[gossip.epoch] = gossip

    def add_load(self, gossip: LoadGossip) -> None:
        """Tell a load; replaces an earlier one."""
        self._loads[gossip.instance] = gossip

    def add_send(self, gossip: SendGossip) -> None:
        """Tell a send; the oldest are dropped when there are too many."""
        self._sends.append(gossip)
        del self._sends[:-MAX_SENDS_A_MESSAGE]

    def add_loading(self, gossip: LoadingGossip) -> None:
        """Tell of an engine that loads weights."""
        self._loading.append(gossip)

    def add_suspect(self, gossip: SuspectGossip) -> None:
        """Tell of an unreachable back end."""
        self._suspects[gossip.instance] = gossip

    def add_crash(self, gossip: CrashGossip) -> None:
        """Tell of a crash under a request."""
        self._crashes[(gossip.request, gossip.run)] = gossip
        if len(self._crashes) > MAX_WAITING_CRASHES:
            del self._crashes[next(iter(self._crashes))]

    def add_answered(self, gossip: AnsweredGossip) -> None:
        """Tell of a request that crashes nothing after all."""
        self._answered[gossip.request] = gossip

    def _take_crashes(self) -> tuple[CrashGossip, ...]:
        taken = list(self._crashes)[:MAX_CRASHES_A_MESSAGE]
        return tuple(self._crashes.pop(key) for key in taken)

    def take(self, group: str | None = None, with_empty: bool = False) -> Gossip | None:
        """Return the message and begin the next; None if there is nothing to tell.

        Args:
            group: Whose news it is, if not the outbox's own group.
            with_empty: Whether to return a message that tells nothing but that the node lives.
        """
        if not with_empty and not self._tells_anything():
            return None
        gossip = Gossip(
            self._sender,
            tuple(self._loads.values()),
            tuple(self._sends),
            tuple(self._loading),
            (),
            tuple(self._suspects.values()),
            self._group if group is None else group,
            tuple(self._usage.values()),
            self._num_nodes,
            tuple(self._trials.values()),
            tuple(self._moved.values()),
            self.run,
            self._take_crashes(),
            tuple(self._answered.values()),
        )
        self._loads = {}
        self._sends = []
        self._loading = []
        self._suspects = {}
        self._usage = {}
        self._trials = {}
        self._moved = {}
        self._answered = {}
        return gossip

    def _tells_anything(self) -> bool:
        return bool(
            self._loads
            or self._sends
            or self._loading
            or self._suspects
            or self._usage
            or self._trials
            or self._moved
            or self._crashes
            or self._answered
        )
