"""Compares ways to find the version that began a stream when a caller takes it up elsewhere.

Simulates only who is told of a stream and who is asked: `python -m bench.stream_origin_ways`.
"""

import enum
from collections.abc import Sequence
from random import Random

import msgspec

from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight

STREAMS_PER_S_AND_NODE = 9.25
"""Streams that begin at each node at the size designed for: 3,700 a second at 400 nodes."""

MESSAGE_BYTES = 60
"""Bytes of one message about a stream, with the headers of a datagram."""

LINK_S = 0.0015
TICK_S = 0.04
"""Nodes read their datagrams at ticks, so a reply takes half a tick at each end on average."""

STORE_CALL_S = 0.008
GOSSIP_S = 0.3
GROUP_SIZE = 12
NUM_SPARE_ASKED = 3
"""Further nodes that are asked, in case the fleet has changed since the stream began."""

NUM_STREAMS = 400
FLEET_SIZES = ((7, 4), (64, 8), (195, 12), (400, 18))
SEED = 1


class Way(enum.Enum):
    """Who is told of a stream before its first event goes out."""

    ALL = "tell all"
    GROUP = "tell the group"
    GOSSIP = "tell the group with the next gossip"
    TWO = "tell 2 by hash"
    THREE = "tell 3 by hash"
    FIVE = "tell 5 by hash"
    ASK_ALL = "tell none, ask all"
    STORE = "write it into the store"


NUM_TOLD = {Way.TWO: 2, Way.THREE: 3, Way.FIVE: 5}


class Trouble(enum.Enum):
    """What happens right after the first event, when the caller loses its node."""

    NODE = "its node dies"
    ZONE = "its zone dies"
    SIX_IN_TEN = "6 in 10 die"
    CUT = "half is cut off"
    LOSSY = "its node dies, 1 in 5 lost"
    REPLACED = "1 in 5 replaced since"


class Fleet(msgspec.Struct, frozen=True):
    """Which nodes are left, and where.

    Attributes:
        zones: Zone of each node.
        alive: Nodes that the asking node reaches.
        loss: Share of the datagrams that are lost.
    """

    zones: Sequence[int]
    alive: frozenset[int]
    loss: float


def trouble(zones: Sequence[int], origin: int, kind: Trouble, random: Random) -> Fleet:
    """Return the fleet after a trouble."""
    nodes = set(range(len(zones)))
    alive = nodes - {origin}
    loss = 0.2 if kind is Trouble.LOSSY else 0.0
    if kind is Trouble.ZONE:
        alive = {node for node in nodes if zones[node] != zones[origin]}
    elif kind is Trouble.SIX_IN_TEN:
        dead = set(random.sample(sorted(alive), round(0.6 * len(nodes)) - 1))
        alive -= dead
    elif kind is Trouble.CUT:
        alive -= set(random.sample(sorted(alive), len(nodes) // 2))
    elif kind is Trouble.REPLACED:
        alive -= set(random.sample(sorted(alive), max(1, len(nodes) // 5)))
    return Fleet(zones, frozenset(alive), loss)


def ranked(stream: int, nodes: Sequence[int]) -> list[int]:
    """Return the nodes in the order of their hashes for a stream."""
    key = rendezvous_key(f"stream-{stream}")
    return sorted(nodes, key=lambda node: rendezvous_weight(f"node-{node}", key), reverse=True)


def told(way: Way, stream: int, origin: int, num_nodes: int) -> list[int]:
    """Return the other nodes that are told of a stream at once."""
    nodes = [node for node in range(num_nodes) if node != origin]
    if way in NUM_TOLD:
        return [node for node in ranked(stream, range(num_nodes))[: NUM_TOLD[way]] if node in nodes]
    if way is Way.ALL:
        return nodes
    if way is Way.GROUP:
        return [node for node in nodes if node // GROUP_SIZE == origin // GROUP_SIZE]
    return []


def is_found(way: Way, stream: int, origin: int, fleet: Fleet, random: Random) -> bool:
    """Return whether a node that is left learns the stream's version."""
    asking = random.choice(sorted(fleet.alive))
    if way is Way.STORE:
        return True
    num_nodes = len(fleet.zones)
    arrived = {
        node for node in told(way, stream, origin, num_nodes) if random.random() >= fleet.loss
    }
    if way is Way.ASK_ALL:
        return origin in fleet.alive
    if asking in arrived:
        return True
    asked = fleet.alive
    if way in NUM_TOLD:
        num_asked = NUM_TOLD[way] + NUM_SPARE_ASKED
        # The asking node may already know only those that are left.
        asked = frozenset(ranked(stream, sorted(fleet.alive))[:num_asked])
    elif way is Way.GROUP:
        asked = frozenset(
            node for node in fleet.alive if node // GROUP_SIZE == asking // GROUP_SIZE
        )
    else:
        return False
    # Two rounds of a question and a reply.
    reached = (1.0 - fleet.loss) ** 2
    lost = (1.0 - reached) ** 2
    return any(random.random() >= lost for _ in arrived & asked)


def found_share(way: Way, num_nodes: int, num_zones: int, kind: Trouble) -> float:
    """Return the share of streams whose version is found."""
    random = Random(SEED)
    zones = [node % num_zones for node in range(num_nodes)]
    num_found = 0
    for stream in range(NUM_STREAMS):
        origin = random.randrange(num_nodes)
        fleet = trouble(zones, origin, kind, random)
        num_found += is_found(way, stream, origin, fleet, random)
    return num_found / NUM_STREAMS


def cost(way: Way, num_nodes: int) -> str:
    """Return datagrams and bytes a second and node, and delays of a first event and a take-up."""
    num = {Way.ALL: num_nodes - 1, Way.GROUP: min(GROUP_SIZE, num_nodes) - 1}.get(way, 0)
    num = min(NUM_TOLD.get(way, num), num_nodes - 1)
    per_s = num * STREAMS_PER_S_AND_NODE
    first_ms = 1000 * STORE_CALL_S if way is Way.STORE else 0.0
    take_up_s = {Way.ALL: 0.0, Way.GOSSIP: GOSSIP_S, Way.STORE: STORE_CALL_S}
    take_up_ms = 1000 * take_up_s.get(way, TICK_S + 2 * LINK_S)
    text = f"{per_s:.0f} datagrams, {per_s * MESSAGE_BYTES / 1000:.1f} kB, {first_ms:.0f} ms"
    if way is Way.STORE:
        text += f", {STREAMS_PER_S_AND_NODE * num_nodes:.0f} writes a second in all"
    return f"{text}, {take_up_ms:.0f} ms"


def main() -> None:
    """Print the shares found, and the costs."""
    for num_nodes, num_zones in FLEET_SIZES:
        for way in Way:
            shares = [found_share(way, num_nodes, num_zones, kind) for kind in Trouble]
            print(num_nodes, way.value, *[f"{share:.2f}" for share in shares], cost(way, num_nodes))


if __name__ == "__main__":
    main()
