"""Asks many nodes the same question until one has the answer."""

from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from typing import TypeVar

import anyio
import msgspec
from result import Ok

from weirscale.node.interfaces import Peer
from weirscale.node.peers.link import PeerLink

AnswerT = TypeVar("AnswerT")

MAX_CONCURRENT_CALLS = 16
"""Peers asked at once: quick for a few hundred nodes, light on each."""


async def first_answer(
    link: PeerLink,
    peers: Sequence[Peer],
    question: msgspec.Struct,
    timeout_s: float,
    accept: Callable[[msgspec.Struct], AnswerT | None],
) -> AnswerT | None:
    """Ask peers in their order, some at a time, until one reply is accepted.

    Args:
        link: Carries the calls.
        peers: Whom to ask, most likely ones first.
        question: The same for all.
        timeout_s: Longest wait for one peer.
        accept: Returns what is wanted from a reply, None if it is not there.

    Returns:
        The first accepted answer, None if no peer has one.
    """
    remaining = iter(peers)
    while batch := tuple(islice(remaining, MAX_CONCURRENT_CALLS)):
        found = await _ask_batch(link, batch, question, timeout_s, accept)
        if found:
            return found[0]
    return None


async def _ask_batch(
    link: PeerLink,
    batch: Iterable[Peer],
    question: msgspec.Struct,
    timeout_s: float,
    accept: Callable[[msgspec.Struct], AnswerT | None],
) -> list[AnswerT]:
    found: list[AnswerT] = []

    async def ask(peer: Peer) -> None:
        reply = await link.call(peer.address, question, timeout_s)
        answer = accept(reply.ok_value) if isinstance(reply, Ok) else None
        if answer is not None:
            found.append(answer)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for peer in batch:
            tasks.start_soon(ask, peer)
    return found
