"""Measures how fast a change comes into force and what it costs, in virtual time.

`python -m weirscale.experiments.configuration.measure 50 100 200 400` prints a line for each size,
once with steady nodes and once with a third of the nodes restarted during the changes.
"""

import sys
import time
from functools import partial

import anyio
import msgspec
import numpy

from weirscale.experiments.configuration.deployments import NUM_ZONES, large_deployment
from weirscale.experiments.configuration.fleet import (
    ConfigurationFleet,
    run_configuration_fleet,
)
from weirscale.experiments.virtual_time import run_in_virtual_time
from weirscale.node.configuration.outcome import Accepted

DEFAULT_SIZES = (50, 100)
NUM_CHANGES = 5
CHANGE_PERIOD_S = 5.0
QUIET_S = 30.0
SETTLE_S = 5.0
REPLACED_SHARE = 1.0 / 3.0


class SpreadCost(msgspec.Struct, frozen=True):
    """What one size costs; processor time includes the simulation's own.

    Attributes:
        num_nodes: Nodes in the fleet.
        is_replacing: Whether a third of the nodes was restarted during the changes.
        quiet_bytes_per_s: Bytes that a node sends a second without changes, mean.
        max_quiet_bytes_per_s: The same of the node that sends most.
        quiet_cpu_share: Processor time that a node takes a second without changes.
        bytes_per_change: Bytes that a node sends in a change period, mean.
        cpu_s_per_change: Processor time that a node takes in a change period.
        in_force_s: 50th, 99th and 100th percentile over nodes and changes, from acceptance.
    """

    num_nodes: int
    is_replacing: bool
    quiet_bytes_per_s: float
    max_quiet_bytes_per_s: float
    quiet_cpu_share: float
    bytes_per_change: float
    cpu_s_per_change: float
    in_force_s: tuple[float, float, float]

    def __str__(self) -> str:
        kind = "replacing" if self.is_replacing else "steady"
        delays = " ".join(f"{delay_s:.3f}" for delay_s in self.in_force_s)
        return (
            f"nodes={self.num_nodes} {kind} quiet_bytes_per_s={self.quiet_bytes_per_s:.0f} "
            f"max={self.max_quiet_bytes_per_s:.0f} quiet_cpu_share={self.quiet_cpu_share:.5f} "
            f"bytes_per_change={self.bytes_per_change:.0f} "
            f"cpu_ms_per_change={1e3 * self.cpu_s_per_change:.1f} "
            f"in_force_s_p50_p99_max={delays}"
        )


async def measure(fleet: ConfigurationFleet, is_replacing: bool) -> SpreadCost:
    """Measure a fleet that has a configuration in force."""
    num_nodes = len(fleet.nodes)
    await anyio.sleep(SETTLE_S)
    before, cpu_before_s = _bytes_sent(fleet), time.process_time()
    await anyio.sleep(QUIET_S)
    quiet_cpu_s = time.process_time() - cpu_before_s
    quiet = [sent - before[name] for name, sent in _bytes_sent(fleet).items()]
    before, cpu_before_s = _bytes_sent(fleet), time.process_time()
    delays_s: list[float] = []
    for number in range(NUM_CHANGES):
        delays_s += await _change(fleet, f"version-{number}", is_replacing)
    changing_cpu_s = time.process_time() - cpu_before_s
    # A node that was restarted counts from its start.
    changing = [sent - before[name] for name, sent in _bytes_sent(fleet).items()]
    percentiles = numpy.percentile(delays_s, (50, 99, 100))
    return SpreadCost(
        num_nodes=num_nodes,
        is_replacing=is_replacing,
        quiet_bytes_per_s=float(numpy.mean(quiet)) / QUIET_S,
        max_quiet_bytes_per_s=max(quiet) / QUIET_S,
        quiet_cpu_share=quiet_cpu_s / QUIET_S / num_nodes,
        bytes_per_change=float(numpy.mean(changing)) / NUM_CHANGES,
        cpu_s_per_change=changing_cpu_s / NUM_CHANGES / num_nodes,
        in_force_s=(float(percentiles[0]), float(percentiles[1]), float(percentiles[2])),
    )


def _bytes_sent(fleet: ConfigurationFleet) -> dict[str, int]:
    """Return bytes sent so far by name, runs of a node added up."""
    sent: dict[str, int] = {}
    for node in [*fleet.past_nodes, *fleet.nodes.values()]:
        sent[node.name] = sent.get(node.name, 0) + node.num_bytes_sent()
    return sent


async def _change(fleet: ConfigurationFleet, version: str, is_replacing: bool) -> list[float]:
    """Apply one change; returns how long each node took from its acceptance."""
    outcome = await fleet.apply(large_deployment(version))
    assert isinstance(outcome, Accepted), outcome
    accepted_at_s = anyio.current_time()
    if is_replacing:
        num_replaced = int(len(fleet.nodes) * REPLACED_SHARE / NUM_CHANGES)
        for name in fleet.random.sample(sorted(fleet.nodes), num_replaced):
            fleet.restart(name)
    await fleet.wait_until_in_force(outcome.revision)
    await anyio.sleep(CHANGE_PERIOD_S)
    return [
        next(r.at_s for r in node.history if r.revision >= outcome.revision) - accepted_at_s
        for node in fleet.nodes.values()
    ]


def main(sizes: list[int]) -> None:
    """Print the cost at each size."""
    for num_nodes in sizes:
        for is_replacing in (False, True):
            script = partial(measure, is_replacing=is_replacing)
            run = partial(
                run_configuration_fleet,
                script,
                num_nodes,
                NUM_ZONES,
                deployment=large_deployment(),
            )
            print(run_in_virtual_time(run), flush=True)


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or list(DEFAULT_SIZES))
