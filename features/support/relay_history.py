"""Random histories of a store, a reader of it and a node that asks the reader, in steps of a clock.

Messages are lost, delayed, repeated and reordered; the reader's watch is late; its log is cut. After
each step, whatever the node holds must have been the store's value at the time of its proof or later.
"""

from random import Random

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.peers.groups import Member
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.state_feed import RecordChanged, StateBatch, VersionedChange
from weirscale.gateway.replication.publisher import ChangePublisher
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState

KEYS = ("weirscale/a", "weirscale/b", "weirscale/c")
NUM_STEPS = 120
ADDRESS = ListenAddress("10.0.0.1", 1)
READERS = ("r-1", "r-2", "r-3")
ASKER = next(
    name
    for name in map(str, range(100))
    if name not in choose_readers([Member(one, "") for one in (*READERS, name)])
)


def finish(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("it waits")


class RelayHistory:
    """One history; `run` returns the violations."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_s = 100.0
        self.revision = 10
        self.values = {key: [(0.0, None)] for key in KEYS}
        self.revisions = dict.fromkeys(KEYS, 0)
        self.flying = []
        self.num_proofs = 0
        self.reader = ClusterState(EventRecorder(), self.clock)
        self.asker = ClusterState(EventRecorder(), self.clock)
        for cluster in (self.reader, self.asker):
            self.read_all(cluster)
        self.publisher = ChangePublisher("r-1", self.reader, self.fly_to_asker, self.clock)
        peers = PeerDirectory(ASKER, self.asker, self.clock)
        peers.addresses = lambda: dict.fromkeys(READERS, ADDRESS)
        peers.members = lambda: [Member(name, "") for name in (ASKER, *READERS)]
        self.subscription = StateSubscription(
            ASKER, self.asker, peers, self.fly_to_reader, EventRecorder(), self.random, self.clock
        )

    def clock(self):
        return self.now_s

    def change_store(self):
        key = self.random.choice(KEYS)
        self.revision += 1
        value = None if self.random.random() < 0.3 else str(self.revision).encode()
        self.values[key].append((self.now_s, value))
        self.revisions[key] = self.revision

    def read_all(self, cluster):
        present = tuple(
            VersionedChange(key, self.revisions[key], RecordChanged(key, history[-1][1]))
            for key, history in self.values.items()
            if history[-1][1] is not None
        )
        cluster.replace_all(StateBatch(self.revision, present), self.now_s)

    def watch(self, cluster, proves):
        """The reader hears of all changes; only sometimes has it asked for the revision too."""
        changes = sorted(
            (
                VersionedChange(key, self.revisions[key], RecordChanged(key, history[-1][1]))
                for key, history in self.values.items()
                if self.revisions[key] > cluster.revision
            ),
            key=lambda change: change.revision,
        )
        asked_s = self.now_s if proves else float("-inf")
        cluster.apply(StateBatch(self.revision, tuple(changes)), asked_s)

    async def fly_to_asker(self, message, _address):
        self.fly(message, self.subscription.receive)

    async def fly_to_reader(self, message, _address):
        self.fly(message, lambda query: finish(self.publisher.answer(query, ADDRESS)))

    def fly(self, message, deliver):
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            delay_s = self.random.choice((0.001, 0.01, 0.3, 3.0))
            self.flying.append((self.now_s + delay_s, message, deliver))

    def deliver(self):
        due = [one for one in self.flying if one[0] <= self.now_s]
        self.flying = [one for one in self.flying if one[0] > self.now_s]
        self.random.shuffle(due)
        for _, message, deliver in due:
            before_s = self.asker.confirmed_at_s
            deliver(message)
            self.num_proofs += self.asker.confirmed_at_s > before_s

    def step(self):
        self.now_s += self.random.choice((0.0, 0.001, 0.05, 0.4))
        self.deliver()
        action = self.random.randrange(8)
        if action <= 1:
            self.change_store()
        elif action == 2:
            self.watch(self.reader, self.random.random() < 0.5)
            finish(self.publisher.publish())
        elif action == 3 and self.random.random() < 0.2:
            self.read_all(self.reader)
        elif action <= 6:
            finish(self.subscription._send_query())
        elif self.subscription.is_full_read_due() and self.random.random() < 0.5:
            self.read_all(self.asker)
            self.subscription.record_full_read()

    def stale_keys(self):
        """Return the keys whose value at the node ended before the node's proof."""
        return [key for key in KEYS if not self._was_later(key, self.asker.records.get(key))]

    def _was_later(self, key, value):
        history = self.values[key]
        ends = [begun_s for begun_s, _ in history[1:]] + [float("inf")]
        return any(
            one == value and end_s >= self.asker.confirmed_at_s
            for (_, one), end_s in zip(history, ends, strict=True)
        )

    def run(self):
        """Return a violation, or None."""
        for number in range(NUM_STEPS):
            self.step()
            stale = self.stale_keys()
            if stale:
                return number, stale, self.asker.confirmed_at_s
        return None
