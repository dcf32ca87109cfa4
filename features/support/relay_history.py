"""Random histories of a store, a reader of the store and a node that queries the reader.

The clock advances in steps. Messages are lost, delayed, repeated and reordered, the reader's watch is
late, and its change log is truncated. After each step, each value at the node must have been the
store's value at the time of the node's proof or later.
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
NODE_NAME = next(
    name
    for name in map(str, range(100))
    if name not in choose_readers([Member(member, "") for member in (*READERS, name)])
)


def run_without_waiting(coroutine):
    """Run a coroutine to its end; raise AssertionError if it waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


class RelayHistory:
    """One random history; `run` returns the first violation."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_s = 100.0
        self.revision = 10
        self.values = {key: [(0.0, None)] for key in KEYS}
        self.revisions = dict.fromkeys(KEYS, 0)
        self.in_flight = []
        self.num_proofs = 0
        self.reader = ClusterState(EventRecorder(), self.clock)
        self.node = ClusterState(EventRecorder(), self.clock)
        for cluster in (self.reader, self.node):
            self.read_all(cluster)
        self.publisher = ChangePublisher("r-1", self.reader, self.send_to_node, self.clock)
        peers = PeerDirectory(NODE_NAME, self.node, self.clock)
        peers.addresses = lambda: dict.fromkeys(READERS, ADDRESS)
        peers.members = lambda: [Member(name, "") for name in (NODE_NAME, *READERS)]
        self.subscription = StateSubscription(
            NODE_NAME,
            self.node,
            peers,
            self.send_to_reader,
            EventRecorder(),
            self.random,
            self.clock,
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
        """Apply all changes at the reader; with `proves`, they also prove its state as of now."""
        changes = sorted(
            (
                VersionedChange(key, self.revisions[key], RecordChanged(key, history[-1][1]))
                for key, history in self.values.items()
                if self.revisions[key] > cluster.revision
            ),
            key=lambda change: change.revision,
        )
        proved_at_s = self.now_s if proves else float("-inf")
        cluster.apply(StateBatch(self.revision, tuple(changes)), proved_at_s)

    async def send_to_node(self, message, _address):
        self.enqueue(message, self.subscription.receive)

    async def send_to_reader(self, message, _address):
        self.enqueue(
            message, lambda query: run_without_waiting(self.publisher.answer(query, ADDRESS))
        )

    def enqueue(self, message, deliver):
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            delay_s = self.random.choice((0.001, 0.01, 0.3, 3.0))
            self.in_flight.append((self.now_s + delay_s, message, deliver))

    def deliver(self):
        due = [entry for entry in self.in_flight if entry[0] <= self.now_s]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now_s]
        self.random.shuffle(due)
        for _, message, deliver in due:
            previous_s = self.node.confirmed_at_s
            deliver(message)
            self.num_proofs += self.node.confirmed_at_s > previous_s

    def step(self):
        self.now_s += self.random.choice((0.0, 0.001, 0.05, 0.4))
        self.deliver()
        action = self.random.randrange(8)
        if action <= 1:
            self.change_store()
        elif action == 2:
            self.watch(self.reader, self.random.random() < 0.5)
            run_without_waiting(self.publisher.publish())
        elif action == 3 and self.random.random() < 0.2:
            self.read_all(self.reader)
        elif action <= 6:
            run_without_waiting(self.subscription._send_query())
        elif self.subscription.is_full_read_due() and self.random.random() < 0.5:
            self.read_all(self.node)
            self.subscription.record_full_read()

    def stale_keys(self):
        """Return the keys whose value at the node was replaced before the node's proof."""
        return [
            key for key in KEYS if not self._was_current_at_proof(key, self.node.records.get(key))
        ]

    def _was_current_at_proof(self, key, value):
        history = self.values[key]
        ends = [start_s for start_s, _ in history[1:]] + [float("inf")]
        return any(
            past_value == value and end_s >= self.node.confirmed_at_s
            for (_, past_value), end_s in zip(history, ends, strict=True)
        )

    def run(self):
        """Return the step, the stale keys and the time of the proof of the first violation, or None."""
        for number in range(NUM_STEPS):
            self.step()
            stale = self.stale_keys()
            if stale:
                return number, stale, self.node.confirmed_at_s
        return None
