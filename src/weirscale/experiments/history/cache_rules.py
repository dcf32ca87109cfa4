"""Rule for cache entries: never from a lost incarnation, another tenant or another version."""

from weirscale.domain.identifiers import BlockHash, RequestId
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN, extend_chain
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import EngineRun, GenerationSent

CACHE_IS_OWN = "cache_is_own"

NO_SEED = BlockHash(0)
"""Chains are only compared within a lineage, so the same seed serves all of them."""

Lineage = tuple[str, ...]
"""Properties that two runs must share for one to reuse cached blocks of the other."""


def check_cache_is_own(history: History) -> list[Violation]:
    """Check that the cached tokens of each run can come from its own lineage.

    A run may reuse at most the longest prefix that it shares with earlier runs of the same tenant,
    model, weight version and adapter, on the same incarnation of the same engine, or on any engine
    if engines share a kept-KV store. The bound is computed from prompts and answers alone, because
    the engine's own matching is under test.
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
        reusable = seen.setdefault(_lineage(run, history.is_kv_kept), set())
        num_own_bytes = _num_leading(chain, reusable) * history.block_size_bytes
        num_own_tokens = int(num_own_bytes / BYTES_PER_TOKEN)
        if run.num_cached_tokens > num_own_tokens:
            detail = (
                f"{run.engine} (incarnation {run.incarnation}, {run.weight_version}) used "
                f"{run.num_cached_tokens} cached tokens; only {num_own_tokens} can be its own"
            )
            violations.append(Violation(CACHE_IS_OWN, (run.request_id,), detail))
        reusable.update(chain)
    return violations


def _chain(history: History, sent: GenerationSent) -> list[BlockHash]:
    """Return the blocks of a prompt and its answer, as an attempt may continue a partial answer."""
    full_text = sent.prompt + history.expected_text(sent).encode()
    return extend_chain(NO_SEED, full_text, 0, history.block_size_bytes)


def _lineage(run: EngineRun, is_kv_kept: bool) -> Lineage:
    shared = (run.model, run.weight_version, run.adapter or "", run.cache_salt)
    return shared if is_kv_kept else (run.engine, str(run.incarnation), *shared)


def _num_leading(chain: list[BlockHash], reusable: set[BlockHash]) -> int:
    """Return how many leading blocks of a chain are in a set."""
    for index, block_hash in enumerate(chain):
        if block_hash not in reusable:
            return index
    return len(chain)
