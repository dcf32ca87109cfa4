"""Recent sends of other nodes, as announced in their send notices: load and prefixes in flight.

Cache events and digests take seconds to show a prefix that another node has just sent to an engine;
a notice takes milliseconds. Notices are only hints: a lost one costs a repeated prefill at worst.
"""

from collections import deque
from collections.abc import Mapping, Sequence

from weirscale.domain.choice.prefix_match import PrefixMatch
from weirscale.domain.choice.recent_sends import RecentSends, ladder_depths
from weirscale.domain.identifiers import BlockHash, EngineName

MAX_NOTES_PER_ENGINE = 256
"""Notices per engine whose tokens are kept."""


class PeerSends:
    """Sends of other nodes; written by the task that receives the notices, read by the policy."""

    def __init__(self) -> None:
        self._recent_sends = RecentSends(ladder_depths)
        self._tokens: dict[EngineName, deque[tuple[float, int]]] = {}

    def record(
        self, engine: EngineName, keys: Sequence[int], num_missing_tokens: int, now_s: float
    ) -> None:
        """Record a send notice.

        Args:
            engine: The engine to which the prompt was sent.
            keys: Keys of the prompt's blocks at `ladder_depths`.
            num_missing_tokens: Prompt tokens that the engine has to compute.
            now_s: Current time.
        """
        self._recent_sends.record_keys(keys, engine, now_s)
        tokens = self._tokens.get(engine)
        if tokens is None:
            tokens = deque(maxlen=MAX_NOTES_PER_ENGINE)
            self._tokens[engine] = tokens
        tokens.append((now_s, num_missing_tokens))

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Mapping[EngineName, PrefixMatch]:
        """Return the engines that have or compute a prefix of the chain, according to notices."""
        matches: dict[EngineName, PrefixMatch] = {}
        for engine, num_blocks in self._recent_sends.match(block_hashes, now_s):
            deepest = matches.get(engine)
            if deepest is None or deepest.num_blocks < num_blocks:
                matches[engine] = PrefixMatch(num_blocks=num_blocks, age_s=0.0)
        return matches

    def num_waiting_tokens(
        self, engine: EngineName, since_s: float, tokens_per_s: float, now_s: float
    ) -> int:
        """Return the prompt tokens of other nodes' sends that still wait at an engine.

        Args:
            engine: The engine.
            since_s: Time of the engine's load report, which already includes earlier sends.
            tokens_per_s: The engine's prefill speed.
            now_s: Current time.
        """
        num_waiting = 0.0
        estimated_at_s = since_s
        for sent_at_s, num_tokens in self._tokens.get(engine, ()):
            if sent_at_s <= since_s:
                continue
            num_waiting = (
                max(num_waiting - (sent_at_s - estimated_at_s) * tokens_per_s, 0.0) + num_tokens
            )
            estimated_at_s = sent_at_s
        return int(max(num_waiting - (now_s - estimated_at_s) * tokens_per_s, 0.0))
