"""Queries many nodes until one of them has the answer."""

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
"""Concurrent calls: few enough to be a light load, and fast enough for a few hundred nodes."""


async def first_answer(
    link: PeerLink,
    peers: Sequence[Peer],
    query: msgspec.Struct,
    timeout_s: float,
    accept: Callable[[msgspec.Struct], AnswerT | None],
) -> AnswerT | None:
    """Call peers in the given order, in concurrent batches, until one reply is accepted.

    Args:
        link: Carries the calls.
        peers: The peers to call, the most likely ones first.
        query: The message for each peer.
        timeout_s: Timeout of each call.
        accept: Extracts the answer from a reply; returns None if the reply does not have it.

    Returns:
        The first accepted answer; None if no peer has one.
    """
    remaining = iter(peers)
    while batch := tuple(islice(remaining, MAX_CONCURRENT_CALLS)):
        answers = await _call_batch(link, batch, query, timeout_s, accept)
        if answers:
            return answers[0]
    return None


async def _call_batch(
    link: PeerLink,
    batch: Iterable[Peer],
    query: msgspec.Struct,
    timeout_s: float,
    accept: Callable[[msgspec.Struct], AnswerT | None],
) -> list[AnswerT]:
    answers: list[AnswerT] = []

    async def call_peer(peer: Peer) -> None:
        reply = await link.call(peer.address, query, timeout_s)
        answer = accept(reply.ok_value) if isinstance(reply, Ok) else None
        if answer is not None:
            answers.append(answer)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for peer in batch:
            tasks.start_soon(call_peer, peer)
    return answers
