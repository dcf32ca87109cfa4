"""What other nodes sent lately, as far as they told: the load and the prefixes on their way.

Events and digests take seconds to tell of a prefix that another node has just sent somewhere; a
note takes milliseconds. Notes are a hint on top: lost ones cost a repeated prefill at worst.
"""

from collections import deque
from collections.abc import Mapping, Sequence

from weirscale.domain.choice.prefix_match import PrefixMatch
from weirscale.domain.choice.recent_sends import RecentSends, ladder_depths
from weirscale.domain.identifiers import BlockHash, EngineName

MAX_NOTES_PER_ENGINE = 256
"""Notes whose tokens are remembered for each engine."""


class PeerSends:
    """Sends of other nodes; written by the task that receives notes, read by the policy."""

    def __init__(self) -> None:
        self._recent = RecentSends(ladder_depths)
        self._tokens: dict[EngineName, deque[tuple[float, int]]] = {}

    def record(
        self, engine: EngineName, keys: Sequence[int], num_missing_tokens: int, now_s: float
    ) -> None:
        """Take in a note.

        Args:
            engine: Where the prompt was sent.
            keys: Keys of its blocks at `ladder_depths`.
            num_missing_tokens: Tokens that the engine has to compute for it.
            now_s: Time.
        """
        self._recent.record_keys(keys, engine, now_s)
        tokens = self._tokens.get(engine)
        if tokens is None:
            tokens = deque(maxlen=MAX_NOTES_PER_ENGINE)
            self._tokens[engine] = tokens
        tokens.append((now_s, num_missing_tokens))

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Mapping[EngineName, PrefixMatch]:
        """Return the engines that hold or compute a prefix of the chain, as noted."""
        matches: dict[EngineName, PrefixMatch] = {}
        for engine, num_blocks in self._recent.match(block_hashes, now_s):
            known = matches.get(engine)
            if known is None or known.num_blocks < num_blocks:
                matches[engine] = PrefixMatch(num_blocks=num_blocks, age_s=0.0)
        return matches

    def num_waiting_tokens(
        self, engine: EngineName, since_s: float, tokens_per_s: float, now_s: float
    ) -> int:
        """Return the prompt tokens of others' sends that still wait at an engine.

        Args:
            engine: The engine.
            since_s: Earlier sends are in its load report already.
            tokens_per_s: Its prefill speed.
            now_s: Time.
        """
        num_waiting = 0.0
        at_s = since_s
        for sent_at_s, num_tokens in self._tokens.get(engine, ()):
            if sent_at_s <= since_s:
                continue
            num_waiting = max(num_waiting - (sent_at_s - at_s) * tokens_per_s, 0.0) + num_tokens
            at_s = sent_at_s
        return int(max(num_waiting - (now_s - at_s) * tokens_per_s, 0.0))
