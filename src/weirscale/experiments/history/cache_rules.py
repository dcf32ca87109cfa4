"""The rule on cache entries: never a dead engine's, another tenant's or an older version's."""

from weirscale.domain.identifiers import BlockHash, RequestId
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN, extend_chain
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import EngineRun, GenerationSent

CACHE_IS_OWN = "cache_is_own"

NO_SEED = BlockHash(0)
"""Chains of one lineage are compared with one another only, so any one seed does."""

Lineage = tuple[str, ...]
"""What must be equal for one run's blocks to serve another: see `_lineage`."""


def check_cache_is_own(history: History) -> list[Violation]:
    """Check that each run's cached tokens can stem from its own lineage.

    A run may reuse at most the longest prefix that it shares with earlier runs of the same tenant,
    model, weight version and adapter: on the same run of the same engine, or on any engine where
    blocks are kept in a store. The engine's own matching is not trusted: the bound is computed
    from prompts and answers alone.
    """
    violations: list[Violation] = []
    seen: dict[Lineage, set[BlockHash]] = {}
    chains: dict[RequestId, list[BlockHash]] = {}
    for run in history.of_type(EngineRun):
        sent = history.sent.get(run.request_id)
        if not isinstance(sent, GenerationSent):
            continue
        if run.cache_salt != sent.tenant:
            detail = f"{run.engine} used the salt {run.cache_salt!r} for tenant {sent.tenant!r}"
            violations.append(Violation(CACHE_IS_OWN, (run.request_id,), detail))
        if run.request_id not in chains:
            chains[run.request_id] = _chain(history, sent)
        chain = chains[run.request_id]
        known = seen.setdefault(_lineage(run, history.is_kv_kept), set())
        num_own_bytes = _num_leading(chain, known) * history.block_size_bytes
        num_own_tokens = int(num_own_bytes / BYTES_PER_TOKEN)
        if run.num_cached_tokens > num_own_tokens:
            detail = (
                f"{run.engine} (run {run.incarnation}, {run.weight_version}) used "
                f"{run.num_cached_tokens} cached tokens where {num_own_tokens} can be its own"
            )
            violations.append(Violation(CACHE_IS_OWN, (run.request_id,), detail))
        known.update(chain)
    return violations


def _chain(history: History, sent: GenerationSent) -> list[BlockHash]:
    """Return the blocks of a prompt and its answer: an attempt may continue a begun answer."""
    whole = sent.prompt + history.expected_text(sent).encode()
    return extend_chain(NO_SEED, whole, 0, history.block_size_bytes)


def _lineage(run: EngineRun, is_kv_kept: bool) -> Lineage:
    own = (run.model, run.weight_version, run.adapter or "", run.cache_salt)
    return own if is_kv_kept else (run.engine, str(run.incarnation), *own)


def _num_leading(chain: list[BlockHash], known: set[BlockHash]) -> int:
    """Return how many leading blocks of a chain are known."""
    for index, block_hash in enumerate(chain):
        if block_hash not in known:
            return index
    return len(chain)
