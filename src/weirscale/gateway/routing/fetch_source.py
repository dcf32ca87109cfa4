"""Choice of the place that an engine fetches a prompt's cached blocks from.

Sources are the other engines and the kept-KV stores, as far as they are believed to keep more of
the prompt than the engine itself.
"""

from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.topology import are_different_regions
from weirscale.gateway.routing.candidate import Candidate, FetchSource, ScopedPrompt
from weirscale.gateway.routing.choice_rules import ChoiceRules


class _Match(msgspec.Struct, frozen=True):
    """What a source keeps of a prompt.

    Attributes:
        num_tokens: Leading tokens that it keeps.
        is_ready: Whether it has certainly read all of them.
        is_engine: Whether it is an engine, not a store.
        source: The source.
    """

    num_tokens: int
    is_ready: bool
    is_engine: bool
    source: FetchSource

    def rank(self) -> tuple[int, bool, bool]:
        """Return what puts one source before another, wherever the candidate stands."""
        return self.num_tokens, self.is_ready, self.is_engine


class SourceFinder:
    """Finds the best source of a prompt's cached blocks; each source is looked up once."""

    def __init__(
        self, need: ScopedPrompt, sources: Sequence[FetchSource], rules: ChoiceRules
    ) -> None:
        self._need = need
        self._sources = sources
        self._min_tokens = rules.min_fetch_tokens
        self._matches: dict[int, list[_Match]] = {}
        self._stores = [source for source in sources if source.instance is None]

    def best(self, candidate: Candidate, cached: int) -> tuple[FetchSource | None, int]:
        """Return the source that has most beyond what is cached, and how many tokens.

        A store is named as the source even if nothing is believed to be there: a miss costs a
        millisecond, and beliefs are lost with each restart. Among equals an engine that has
        certainly read its blocks goes first, then an engine before a store, then the nearer one: a
        source that does not answer delays the request.
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
            if best is None or _is_near(candidate, match.source):
                best = match
            if _is_near(candidate, best.source):
                break
        if best is None:
            return self._store_for(candidate), 0
        return best.source, min(best.num_tokens, self._need.prompt.num_tokens) - cached

    def _store_for(self, candidate: Candidate) -> FetchSource | None:
        near = (
            one for one in self._stores if not are_different_regions(candidate.region, one.region)
        )
        return next(near, None)

    def _ranked(self, version: int | None) -> list[_Match]:
        """Return the sources of blocks made by a version of the weights, the best first."""
        if version is None:
            return []
        ranked = self._matches.get(version)
        if ranked is None:
            found = (self._match(source, version) for source in self._sources)
            ranked = [one for one in found if one.num_tokens >= self._min_tokens]
            ranked.sort(key=_Match.rank, reverse=True)
            self._matches[version] = ranked
        return ranked

    def _match(self, source: FetchSource, version: int) -> _Match:
        if source.weight_version not in (None, version):
            return _Match(0, False, False, source)
        scope, blocks = self._need.scopes[version], self._need.prompt.blocks
        matched = source.cache.matched_tokens(scope, blocks)
        is_ready = matched > 0 and (
            source.cache.matched_tokens(scope, blocks, only_ready=True) == matched
        )
        return _Match(matched, is_ready, source.instance is not None, source)


def _is_near(candidate: Candidate, source: FetchSource) -> bool:
    return source.zone == candidate.back_end.zone
