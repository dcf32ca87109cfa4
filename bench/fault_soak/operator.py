"""The operator of a soak: configurations, namings of weights, and requests that show them."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

import anyio

from bench.fault_soak.callers import Call, CallerClient
from bench.fault_soak.history import (
    ConfigurationAcknowledged,
    ConfigurationVersion,
    NodeName,
    RequestId,
    RequestKind,
    WeightsNamed,
    WeightsVersion,
)
from bench.fault_soak.recorder import Recorder
from features.support.platform_words import (
    CONFIGURATION_KEY,
    KEYED_PATH,
    WEIGHTS_KEY,
    configuration,
    target_version_entry,
)

NUM_KEYS = 2
"""Keys of one configuration: each new one adds a key and removes the oldest."""

LONGEST_STEP = 5
"""Versions rise in uneven steps."""

MARKER_INTERVAL_S = 0.4
MOST_MARKERS_PER_S = 30
"""Of all nodes together, so that a soak of many nodes leaves time for the rest."""

NUM_MARKERS = 3
"""Newest configurations whose markers are asked for."""


class Store(Protocol):
    """Where the operator writes."""

    def put(self, key: str, value: object) -> None:
        """Write and be acknowledged."""
        ...


class Operator:
    """Writes to the store and knows what it wrote.

    Args:
        store: The store.
        recorder: Where acknowledgements are noted.
        random: Steps of the versions.
    """

    def __init__(self, store: Store, recorder: Recorder, random: Random) -> None:
        self._store = store
        self._recorder = recorder
        self._random = random
        self._keys: list[str] = []
        self._weights = WeightsVersion(0)
        self.written: list[ConfigurationAcknowledged] = []
        self.all_keys: list[str] = []

    def configure(self) -> None:
        """Write the next configuration."""
        last = self.written[-1].version if self.written else 0
        version = ConfigurationVersion(last + self._random.randint(1, LONGEST_STEP))
        marker = f"/marker-{version}/"
        self.all_keys.append(f"key-{version}-{self._random.getrandbits(32):08x}")
        self._keys = self.all_keys[-NUM_KEYS:]
        self._store.put(CONFIGURATION_KEY, configuration(version, marker, self._keys))
        record = ConfigurationAcknowledged(
            at_s=self._recorder.now_s(), version=version, marker=marker, keys=tuple(self._keys)
        )
        self.written.append(record)
        self._recorder.note(record)

    def name_weights(self) -> None:
        """Name the next weights."""
        self._weights = WeightsVersion(self._weights + 1)
        self._store.put(WEIGHTS_KEY, target_version_entry(self._weights))
        self._recorder.note(WeightsNamed(at_s=self._recorder.now_s(), version=self._weights))

    @property
    def weights(self) -> WeightsVersion:
        """The newest weights."""
        return self._weights

    def newest_keys(self) -> Sequence[str]:
        """Return the keys of the newest configuration."""
        return self._keys


class MarkerCaller:
    """Asks every node for the markers of the newest configurations, and with keys old and new.

    Args:
        name: Begins the ids of its requests.
        operator: Whose configurations are asked for.
        client: Connections.
        random: What is asked.
        nodes: All nodes.
        ready_nodes: Those that take new connections now.
    """

    def __init__(
        self,
        name: str,
        operator: Operator,
        client: CallerClient,
        random: Random,
        nodes: Sequence[NodeName],
        ready_nodes: Callable[[], Sequence[NodeName]],
    ) -> None:
        self._name = name
        self._operator = operator
        self._client = client
        self._random = random
        self._nodes = nodes
        self._ready_nodes = ready_nodes
        self._num_requests = 0

    async def run(self, stop: anyio.Event) -> None:
        """Ask until `stop` is set; no node waits for the answer of another one."""
        interval_s = max(MARKER_INTERVAL_S, 2 * len(self._nodes) / MOST_MARKERS_PER_S)
        async with anyio.create_task_group() as tasks:
            while not stop.is_set():
                ready = self._ready_nodes()
                for node in self._nodes:
                    # Keys also go to nodes that are held up: they must not work there either.
                    tasks.start_soon(self._client.send, node, self._keyed_call())
                    if node in ready:
                        tasks.start_soon(self._client.send, node, self._marker_call())
                await anyio.sleep(interval_s)

    def _next_id(self) -> RequestId:
        self._num_requests += 1
        return RequestId(f"{self._name}-{self._num_requests}")

    def _marker_call(self) -> Call:
        asked = self._random.choice(self._operator.written[-NUM_MARKERS:])
        return Call(self._next_id(), RequestKind.REPEATABLE, asked.marker)

    def _keyed_call(self) -> Call:
        key = self._random.choice(self._operator.all_keys[-2 * NUM_KEYS :])
        return Call(self._next_id(), RequestKind.REPEATABLE, KEYED_PATH, key=key)
