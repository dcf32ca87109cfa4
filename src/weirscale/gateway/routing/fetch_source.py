"""Choice of the source from which an engine fetches a prompt's cached blocks.

Sources are the other engines and the kept-KV stores that presumably have more of the prompt cached
than the engine itself.
"""

from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.topology import are_different_regions
from weirscale.gateway.routing.candidate import Candidate, FetchSource, ScopedPrompt
from weirscale.gateway.routing.choice_rules import ChoiceRules


class _Match(msgspec.Struct, frozen=True):
    """The part of a prompt that a source has cached.

    Attributes:
        num_tokens: Number of leading tokens that are cached.
        is_ready: Whether the source certainly has all of them.
        is_engine: Whether the source is an engine, not a store.
        source: The source.
    """

    num_tokens: int
    is_ready: bool
    is_engine: bool
    source: FetchSource

    def rank(self) -> tuple[int, bool, bool]:
        """Return the sort key of the source, apart from its distance to the candidate."""
        return self.num_tokens, self.is_ready, self.is_engine


class SourceFinder:
    """Finds the best source of a prompt's cached blocks; each source is matched only once."""

    def __init__(
        self, scoped_prompt: ScopedPrompt, sources: Sequence[FetchSource], rules: ChoiceRules
    ) -> None:
        self._scoped_prompt = scoped_prompt
        self._sources = sources
        self._min_tokens = rules.min_fetch_tokens
        self._matches: dict[int, list[_Match]] = {}
        self._stores = [source for source in sources if source.instance is None]

    def best(self, candidate: Candidate, cached: int) -> tuple[FetchSource | None, int]:
        """Return the source with the most tokens beyond those cached, and the number to fetch.

        Without such a source, a store of the region is returned with 0 tokens, even if nothing is
        presumed to be there: a miss costs a millisecond, and a node loses its cache index with each
        restart. Among equal sources, one that certainly has its blocks goes first, then an engine
        before a store, then a source in the candidate's zone, since a source that does not answer
        delays the request.

        Args:
            candidate: The engine that would fetch.
            cached: Number of leading tokens that it has cached itself.
        """
        best: _Match | None = None
        for match in self._ranked(candidate.weight_version):
            if match.num_tokens < cached + self._min_tokens:
                break
            if best is not None and match.rank() < best.rank():
                break
            if match.source.instance == candidate.back_end.instance:
                continue
            if are_different_regions(candidate.region, match.source.region):
                continue
            if best is None or _is_same_zone(candidate, match.source):
                best = match
            if _is_same_zone(candidate, best.source):
                break
        if best is None:
            return self._store_for(candidate), 0
        return best.source, min(best.num_tokens, self._scoped_prompt.prompt.num_tokens) - cached

    def _store_for(self, candidate: Candidate) -> FetchSource | None:
        in_region = (
            store
            for store in self._stores
            if not are_different_regions(candidate.region, store.region)
        )
        return next(in_region, None)

    def _ranked(self, version: int | None) -> list[_Match]:
        """Return the matches for a version of the weights, best first."""
        if version is None:
            return []
        ranked = self._matches.get(version)
        if ranked is None:
            matches = (self._match(source, version) for source in self._sources)
            ranked = [match for match in matches if match.num_tokens >= self._min_tokens]
            ranked.sort(key=_Match.rank, reverse=True)
            self._matches[version] = ranked
        return ranked

    def _match(self, source: FetchSource, version: int) -> _Match:
        if source.weight_version not in (None, version):
            return _Match(0, False, False, source)
        scope, blocks = self._scoped_prompt.scopes[version], self._scoped_prompt.prompt.blocks
        matched = source.cache.matched_tokens(scope, blocks)
        is_ready = matched > 0 and (
            source.cache.matched_tokens(scope, blocks, only_ready=True) == matched
        )
        return _Match(matched, is_ready, source.instance is not None, source)


def _is_same_zone(candidate: Candidate, source: FetchSource) -> bool:
    return source.zone == candidate.back_end.zone
