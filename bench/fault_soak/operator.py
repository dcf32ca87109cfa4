"""The operator of a soak test: writes configurations and weight versions, and probes them."""

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
"""Keys of one configuration: each new configuration adds a key and removes the oldest."""

MAX_VERSION_STEP = 5
"""Versions increase in uneven steps, up to this one."""

MIN_MARKER_INTERVAL_S = 0.4
MAX_MARKERS_PER_S = 30
"""For all nodes together, so that probes don't starve other requests when there are many nodes."""

NUM_MARKERS = 3
"""Number of newest configurations whose markers are requested."""


class Store(Protocol):
    """The store that the operator writes to."""

    def put(self, key: str, value: object) -> None:
        """Write a value; the store acknowledges it at once."""
        ...


class Operator:
    """Writes configurations and weight versions, and keeps track of them.

    Args:
        store: The store.
        recorder: Records acknowledgements.
        random: Determines keys and the steps of the versions.
    """

    def __init__(self, store: Store, recorder: Recorder, random: Random) -> None:
        self._store = store
        self._recorder = recorder
        self._random = random
        self._keys: list[str] = []
        self._weights = WeightsVersion(0)
        self.acknowledged: list[ConfigurationAcknowledged] = []
        self.all_keys: list[str] = []

    def configure(self) -> None:
        """Write the next configuration."""
        last = self.acknowledged[-1].version if self.acknowledged else 0
        version = ConfigurationVersion(last + self._random.randint(1, MAX_VERSION_STEP))
        marker = f"/marker-{version}/"
        self.all_keys.append(f"key-{version}-{self._random.getrandbits(32):08x}")
        self._keys = self.all_keys[-NUM_KEYS:]
        self._store.put(CONFIGURATION_KEY, configuration(version, marker, self._keys))
        record = ConfigurationAcknowledged(
            at_s=self._recorder.now_s(), version=version, marker=marker, keys=tuple(self._keys)
        )
        self.acknowledged.append(record)
        self._recorder.record(record)

    def name_weights(self) -> None:
        """Name the next weight version."""
        self._weights = WeightsVersion(self._weights + 1)
        self._store.put(WEIGHTS_KEY, target_version_entry(self._weights))
        self._recorder.record(WeightsNamed(at_s=self._recorder.now_s(), version=self._weights))

    @property
    def weights(self) -> WeightsVersion:
        """The newest weight version."""
        return self._weights

    def newest_keys(self) -> Sequence[str]:
        """Return the keys of the newest configuration."""
        return self._keys


class MarkerCaller:
    """Requests markers of the newest configurations from every node, and uses old and new keys.

    Args:
        name: Prefix of its request ids.
        operator: Writes the configurations.
        client: Its connections.
        random: Chooses markers and keys.
        nodes: All nodes.
        ready_nodes: Returns the nodes that accept new connections now.
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
        """Send requests until `stop` is set, to each node independently of the others."""
        interval_s = max(MIN_MARKER_INTERVAL_S, 2 * len(self._nodes) / MAX_MARKERS_PER_S)
        async with anyio.create_task_group() as tasks:
            while not stop.is_set():
                ready = self._ready_nodes()
                for node in self._nodes:
                    # Keys also go to nodes that aren't ready: removed keys must not work there.
                    tasks.start_soon(self._client.send, node, self._keyed_call())
                    if node in ready:
                        tasks.start_soon(self._client.send, node, self._marker_call())
                await anyio.sleep(interval_s)

    def _next_id(self) -> RequestId:
        self._num_requests += 1
        return RequestId(f"{self._name}-{self._num_requests}")

    def _marker_call(self) -> Call:
        configuration_record = self._random.choice(self._operator.acknowledged[-NUM_MARKERS:])
        return Call(self._next_id(), RequestKind.REPEATABLE, configuration_record.marker)

    def _keyed_call(self) -> Call:
        key = self._random.choice(self._operator.all_keys[-2 * NUM_KEYS :])
        return Call(self._next_id(), RequestKind.REPEATABLE, KEYED_PATH, key=key)
