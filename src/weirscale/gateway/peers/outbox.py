"""Gathers what a node is to tell others, until the next message."""

from weirscale.gateway.peers.messages import (
    AnsweredNews,
    CrashNews,
    LoadingNews,
    LoadNews,
    MovedNews,
    PeerNews,
    SendNews,
    SuspectNews,
    TrialNews,
    UsageNews,
)

MAX_SENDS_A_MESSAGE = 64
MAX_CRASHES_A_MESSAGE = 64
"""The others wait for the next message."""

MAX_WAITING_CRASHES = 4096
"""Beyond it the oldest are dropped: more crash at once only where a region is lost."""


class NewsOutbox:
    """Gathers what is to be told, until the next message.

    Args:
        sender: This node.
        group: Whose news it is, as `PeerNews.group` tells.
    """

    def __init__(self, sender: str, group: str = "") -> None:
        self._sender = sender
        self._group = group
        self._loads: dict[str, LoadNews] = {}
        self._sends: list[SendNews] = []
        self._loading: list[LoadingNews] = []
        self._suspects: dict[str, SuspectNews] = {}
        self._usage: dict[str, UsageNews] = {}
        self._num_nodes = 1
        self._trials: dict[tuple[int, str, str], TrialNews] = {}
        self._moved: dict[int, MovedNews] = {}
        self._crashes: dict[tuple[str, str], CrashNews] = {}
        self._answered: dict[str, AnsweredNews] = {}
        self.run = 0
        """Told along: counts of one run of a process begin anew with the next."""

    def add_usage(self, news: UsageNews) -> None:
        """Tell what a tenant spends; replaces what was to be told of it."""
        self._usage[news.tenant] = news

    def set_num_nodes(self, num_nodes: int) -> None:
        """Set of how many nodes the usage is."""
        self._num_nodes = num_nodes

    def add_trials(self, news: TrialNews) -> None:
        """Tell counts of a rollout; replaces what was to be told of them."""
        self._trials[(news.epoch, news.route, news.instance)] = news

    def add_moved(self, news: MovedNews) -> None:
        """Tell how many nodes have moved; replaces what was to be told."""
        self._moved[news.epoch] = news

    def add_load(self, news: LoadNews) -> None:
        """Tell a load; replaces an earlier one."""
        self._loads[news.instance] = news

    def add_send(self, news: SendNews) -> None:
        """Tell a send; the oldest are dropped when there are too many."""
        self._sends.append(news)
        del self._sends[:-MAX_SENDS_A_MESSAGE]

    def add_loading(self, news: LoadingNews) -> None:
        """Tell of a runner that loads weights."""
        self._loading.append(news)

    def add_suspect(self, news: SuspectNews) -> None:
        """Tell of an unreachable back end."""
        self._suspects[news.instance] = news

    def add_crash(self, news: CrashNews) -> None:
        """Tell of a crash under a request."""
        self._crashes[(news.request, news.run)] = news
        if len(self._crashes) > MAX_WAITING_CRASHES:
            del self._crashes[next(iter(self._crashes))]

    def add_answered(self, news: AnsweredNews) -> None:
        """Tell of a request that crashes nothing after all."""
        self._answered[news.request] = news

    def _take_crashes(self) -> tuple[CrashNews, ...]:
        taken = list(self._crashes)[:MAX_CRASHES_A_MESSAGE]
        return tuple(self._crashes.pop(key) for key in taken)

    def take(self, group: str | None = None, with_empty: bool = False) -> PeerNews | None:
        """Return the message and begin the next; None if there is nothing to tell.

        Args:
            group: Whose news it is, if not the outbox's own group.
            with_empty: Whether to return a message that tells nothing but that the node lives.
        """
        if not with_empty and not self._tells_anything():
            return None
        news = PeerNews(
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
        return news

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
