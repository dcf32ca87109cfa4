"""Compares ways to find the prompt block that crashes back ends: `python -m bench.block_ways`.

Arguments: sizes of the fleet, and "chosen" for the way that was chosen alone. Simulates who crashes
with what and what nodes tell each other; back ends are chosen at random.
"""

import enum
import heapq
import itertools
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from random import Random

import msgspec

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.block_key import BlockGroup, BlockKey
from weirscale.gateway.quarantine.block_suspects import BlocksCrash, BlockSuspects
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint

FLEET_SIZES = ((7, 9), (64, 58), (195, 180), (400, 1700))
SOUND_PER_S_AND_NODE = 5.0
FATAL_FROM_S = 5.0
UNTIL_S = 25.0
CONTACT_S = 3.0
WAIT_S = 0.05
WRITING_S = (0.2, 2.0)
CRASH_DELAY_S = 0.1
OUT_S = 4.0
INNOCENT_WRITING_S = 1.0
GROUP_SIZE = 12
LOSS = 0.02
RESEND_S = 1.0
RECORD_S = 0.6
"""Seconds from a verdict until all nodes have read its record in the store."""

COUNT_CRASHES = 3
FIRST_BLOCKS = 40
SECOND_BLOCKS = 20
RARE_PER_S = 0.5
MAX_SOUND_PER_S = 700.0
"""Sound requests a second that are simulated at most; more only clear sound blocks sooner."""


class Way(enum.Enum):
    """What nodes count, and when they refuse."""

    REQUESTS = "whole requests"
    COUNT = "blocks, 3 crashes, all aboard"
    BEGUN = "blocks, 3 crashes, only begun"
    EXPLAINED = "blocks that explain, alike ones together"


class Nesting(enum.Enum):
    """Where the fatal block stands in a prompt."""

    HOT = "under a frequent first block"
    RARE = "under a rare first block"
    OWN = "under a first block of its own"
    FIRST = "first"
    CROSSING = "under any first block"
    ABOVE = "above blocks of its own"
    TWO = "two fatal blocks"


class Trouble(enum.Enum):
    """What else happens."""

    NONE = "none"
    SERIES = "a crash a second for other reasons"
    ZONE = "a third of the back ends at once"
    KILLED = "1 in 5 nodes killed after the second crash"
    CUT = "1 in 5 nodes cut off from the others"


class Case(msgspec.Struct, frozen=True):
    """One simulation."""

    num_nodes: int
    num_back_ends: int
    way: Way
    nesting: Nesting
    trouble: Trouble
    fatal_per_s: float
    seed: int = 1


class Request(msgspec.Struct, eq=False):
    """A request on its way."""

    node: int
    blocks: tuple[BlockKey, ...]
    is_fatal: bool
    begins_s: float
    fingerprint: RequestFingerprint
    was_sent_after_crash: bool


class Outcome(msgspec.Struct):
    """What came of a simulation."""

    num_crashes: int = 0
    num_late: int = 0
    """Fatal requests that reached back ends from `CONTACT_S` after the fifth crash on."""
    num_sound: int = 0
    num_blamed: int = 0
    """Sound requests refused."""


class Node:
    """What one node knows."""

    def __init__(self) -> None:
        self.suspects = BlockSuspects()
        self.answered: set[BlockKey] = set()
        self.groups: set[BlockGroup] = set()

    def refuses(self, blocks: Sequence[BlockKey]) -> bool:
        """Return whether the node refuses a request with these blocks."""
        return any(group.issubset(blocks) for group in self.groups)


class Simulation:
    """Runs one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = Random(case.seed)
        self.nodes = [Node() for _ in range(case.num_nodes)]
        self.cut: set[int] = set()
        self.alive = dict.fromkeys(range(case.num_back_ends), 0)
        self.aboard: dict[int, set[Request]] = defaultdict(set)
        self.crash_times: list[float] = []
        self.late_from_s = float("inf")
        self.outcome = Outcome()
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._session = itertools.count()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def run(self) -> Outcome:
        """Run to the end, and return the outcome."""
        case = self.case
        sound_per_s = min(MAX_SOUND_PER_S, SOUND_PER_S_AND_NODE * case.num_nodes)
        self._repeat(sound_per_s, 0.0, self._send_sound)
        self._repeat(case.fatal_per_s, FATAL_FROM_S, self._send_fatal)
        if case.nesting is Nesting.RARE:
            self._repeat(RARE_PER_S, 0.0, lambda: self._send((BlockKey("rare"),), False))
        self._begin_trouble()
        self._repeat_checks()
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            if self.now_s > UNTIL_S:
                break
            action()
        return self.outcome

    def _repeat(self, per_s: float, from_s: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(self.random.expovariate(per_s), again)

        self.at(from_s + self.random.expovariate(per_s), again)

    def _begin_trouble(self) -> None:
        case = self.case
        if case.trouble is Trouble.SERIES:
            self._repeat(1.0, FATAL_FROM_S, self._crash_any)
        elif case.trouble is Trouble.ZONE:
            self.at(FATAL_FROM_S, self._crash_third)
        elif case.trouble is Trouble.CUT:
            self.cut = set(self.random.sample(range(case.num_nodes), case.num_nodes // 5))

    def _crash_any(self) -> None:
        if self.alive:
            self._crash(self.random.choice(list(self.alive)), is_fatal=False)

    def _crash_third(self) -> None:
        for back_end in list(self.alive)[::3]:
            self._crash(back_end, is_fatal=False)

    # Requests.

    def _send_sound(self) -> None:
        first = f"a{int(self.random.paretovariate(1.0)) % FIRST_BLOCKS}"
        second = f"{first}s{self.random.randrange(SECOND_BLOCKS)}"
        self._send((BlockKey(first), BlockKey(second)), False)

    def _send_fatal(self) -> None:
        match self.case.nesting:
            case Nesting.HOT:
                blocks = ["a1", "dead"]
            case Nesting.RARE:
                blocks = ["rare", "dead"]
            case Nesting.OWN:
                blocks = ["own", "dead"]
            case Nesting.FIRST:
                blocks = ["dead", f"d{self.random.randrange(SECOND_BLOCKS)}"]
            case Nesting.CROSSING:
                blocks = [f"a{self.random.randrange(FIRST_BLOCKS)}", "dead"]
            case Nesting.ABOVE:
                blocks = ["a1", "dead", f"d{self.random.randrange(3)}"]
            case Nesting.TWO:
                blocks = ["a1", self.random.choice(["dead", "dead2"])]
        self._send(tuple(BlockKey(block) for block in blocks), True)

    def _send(self, blocks: tuple[BlockKey, ...], is_fatal: bool) -> None:
        number = self.random.randrange(self.case.num_nodes)
        node = self.nodes[number]
        if not is_fatal:
            self.outcome.num_sound += 1
        if node.refuses(blocks):
            self.outcome.num_blamed += not is_fatal
            return
        if not self.alive:
            return
        if is_fatal and self.now_s > self.late_from_s:
            self.outcome.num_late += 1
        back_end = self.random.choice(list(self.alive))
        was_sent_after_crash = any(node.suspects.is_suspect(block) for block in blocks)
        begins_s = self.now_s + WAIT_S
        request = Request(
            number, blocks, is_fatal, begins_s, self._fingerprint(), was_sent_after_crash
        )
        self.aboard[back_end].add(request)
        if is_fatal:
            run = self.alive[back_end]
            self.at(WAIT_S + CRASH_DELAY_S, lambda: self._crash_run(back_end, run))
        else:
            self.at(
                WAIT_S + self.random.uniform(*WRITING_S), lambda: self._answer(back_end, request)
            )

    def _fingerprint(self) -> RequestFingerprint:
        return RequestFingerprint(f"{next(self._session):032x}")

    def _answer(self, back_end: int, request: Request) -> None:
        if request not in self.aboard[back_end]:
            return
        self.aboard[back_end].discard(request)
        node = self.nodes[request.node]
        node.answered.update(request.blocks)
        for block in request.blocks:
            if node.suspects.note_answered(block):
                self._tell(request.node, partial(self._told_answered, block))
        self._release(node, request.blocks)

    def _told_answered(self, block: BlockKey, node: Node) -> None:
        node.suspects.note_answered(block)
        self._release(node, (block,))

    def _release(self, node: Node, blocks: Iterable[BlockKey]) -> None:
        for block in blocks:
            node.groups = {group for group in node.groups if block not in group}

    # Crashes.

    def _crash_run(self, back_end: int, run: int) -> None:
        if self.alive.get(back_end) == run:
            self._crash(back_end, is_fatal=True)

    def _crash(self, back_end: int, is_fatal: bool) -> None:
        run = self.alive.pop(back_end)
        self.at(OUT_S, lambda: self.alive.update({back_end: run + 1}))
        if is_fatal:
            self.outcome.num_crashes += 1
            self.crash_times.append(self.now_s)
            if len(self.crash_times) == 2 and self.case.trouble is Trouble.KILLED:
                self._kill_nodes()
            if len(self.crash_times) == 5:
                self.late_from_s = self.now_s + CONTACT_S
        by_node = defaultdict(list)
        for request in self.aboard.pop(back_end, ()):
            has_begun = self.now_s - request.begins_s < INNOCENT_WRITING_S
            if self.case.way is Way.COUNT or has_begun:
                by_node[request.node].append(request)
        for number, requests in by_node.items():
            self.at(
                self.random.uniform(0.02, 0.15),
                partial(self._report, number, f"{back_end}@{run}", requests),
            )

    def _kill_nodes(self) -> None:
        for number in self.random.sample(range(self.case.num_nodes), self.case.num_nodes // 5):
            self.nodes[number] = Node()

    def _report(self, number: int, run: str, requests: Sequence[Request]) -> None:
        for request in requests:
            crash = BlocksCrash(
                RunId(run), request.fingerprint, request.blocks, request.was_sent_after_crash
            )
            self._note_crash(number, crash)
            self._tell(number, partial(self._told_crash, crash))

    def _told_crash(self, crash: BlocksCrash, node: Node) -> None:
        number = self.nodes.index(node) if node in self.nodes else None
        if number is not None:
            self._note_crash(number, crash)

    def _note_crash(self, number: int, crash: BlocksCrash) -> None:
        node = self.nodes[number]
        if not node.suspects.note_crash(crash, self.now_s):
            return
        for block in crash.blocks:
            if block in node.answered and node.suspects.note_answered_before(block):
                self._tell(number, partial(_told_answered_before, block))
        self._judge(node)

    def _repeat_checks(self) -> None:
        for node in self.nodes:
            self._judge(node)
        self.at(0.2, self._repeat_checks)

    def _judge(self, node: Node) -> None:
        for group in self._causes(node):
            if group not in node.groups:
                node.groups.add(group)
                self.at(RECORD_S, partial(self._recorded, group))

    def _recorded(self, group: BlockGroup) -> None:
        for node in self.nodes:
            node.groups.add(group)

    def _causes(self, node: Node) -> Iterable[BlockGroup]:
        match self.case.way:
            case Way.REQUESTS:
                return ()
            case Way.EXPLAINED:
                is_cut = self.nodes.index(node) in self.cut
                return node.suspects.causes(self.now_s, hears_most_nodes=not is_cut)
            case _:
                return [
                    frozenset([block])
                    for block, suspect in node.suspects._suspects.items()
                    if len(suspect.runs) >= COUNT_CRASHES
                ]

    def _tell(self, sender: int, action: Callable[[Node], None]) -> None:
        if sender in self.cut:
            return
        for number, node in enumerate(self.nodes):
            if number == sender or number in self.cut:
                continue
            is_near = number // GROUP_SIZE == sender // GROUP_SIZE
            delay_s = self.random.uniform(0.0, 0.1) if is_near else self.random.uniform(0.1, 0.3)
            while self.random.random() < LOSS:
                delay_s += RESEND_S
            self.at(delay_s, partial(action, node))


def _told_answered_before(block: BlockKey, node: Node) -> None:
    node.suspects.note_answered_before(block)


def run_table(
    sizes: Sequence[tuple[int, int]], rates: Sequence[float], ways: Sequence[Way]
) -> None:
    """Print a row for each way, nesting and trouble: the worst over the rates."""
    for num_nodes, num_back_ends in sizes:
        print(f"\n{num_nodes} nodes, {num_back_ends} back ends; rates {rates}")
        print("way | nesting | trouble | crashes | late, worst | sound refused, worst")
        for way in ways:
            for nesting in Nesting:
                for trouble in Trouble:
                    outcomes = [
                        Simulation(
                            Case(num_nodes, num_back_ends, way, nesting, trouble, rate)
                        ).run()
                        for rate in rates
                    ]
                    crashes = max(one.num_crashes for one in outcomes)
                    late = max(one.num_late for one in outcomes)
                    blamed = max(one.num_blamed / max(1, one.num_sound) for one in outcomes)
                    print(
                        f"{way.value} | {nesting.value} | {trouble.value} | {crashes} | {late} | "
                        f"{blamed:.4f}",
                        flush=True,
                    )


if __name__ == "__main__":
    arguments = sys.argv[1:]
    chosen = [size for size in FLEET_SIZES if str(size[0]) in arguments or not arguments]
    run_table(chosen, (1.0, 5.0, 20.0), [Way.EXPLAINED] if "chosen" in arguments else list(Way))
