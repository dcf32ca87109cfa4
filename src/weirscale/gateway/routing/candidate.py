"""Types of a choice: candidates, fetch sources, the prompt with its scopes, and the result."""

import math

import msgspec

from weirscale.domain.identifiers import RegionName, ZoneName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.model.topology import NO_REGION
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.routing.first_event_model import PrefillWork
from weirscale.gateway.routing.load import Load


class Candidate(msgspec.Struct, frozen=True):
    """A back end that may be chosen.

    Attributes:
        back_end: The back end.
        load: Load of all nodes on it.
        is_suspect: Whether its circuit is not closed.
        cache: Blocks that it presumably has cached; None without a prompt, or if it is no engine.
        capacity_tokens: Capacity of its memory in tokens.
        weight_version: Version of its weights for the requested model, or None.
        load_age_s: Age of the oldest gossip in the load; set for the chosen back end only.
        newest_version: The newest target version if its own is older; None otherwise.
        weights_behind_s: Upper bound of the time since a newer version became a target.
        max_start_delay_s: Time until its weights are too old for a request to start on them.
        recent_wait_s: This node's longest recent wait for a first event, at any engine of the
            service; 0 if the weights are not outdated.
        belongs_to_other_group: Whether another group of nodes prefers it.
        region: Region of the back end.
        is_cross_region: Whether it is in another region than this node.
        has_spare_permit: Whether it has a request limit, and this node holds a permit that expires
            unless it is used.
    """

    back_end: BackEnd
    load: Load
    is_suspect: bool
    cache: CachedBlocks | None = None
    capacity_tokens: int = 0
    weight_version: int | None = None
    load_age_s: float = 0.0
    newest_version: int | None = None
    weights_behind_s: float = 0.0
    max_start_delay_s: float = math.inf
    recent_wait_s: float = 0.0
    belongs_to_other_group: bool = False
    region: RegionName = NO_REGION
    is_cross_region: bool = False
    has_spare_permit: bool = False

    @property
    def has_old_weights(self) -> bool:
        """Return whether the weights are older than the newest target version."""
        return self.newest_version is not None

    def prefill_work(
        self, read_tokens: int, fetched_tokens: int, is_from_store: bool
    ) -> PrefillWork:
        """Return the work until the first event of a request that is sent to this back end.

        Args:
            read_tokens: Prompt tokens to prefill.
            fetched_tokens: Prompt tokens to fetch.
            is_from_store: Whether they are fetched from a kept-KV store.
        """
        return PrefillWork(
            read_tokens,
            self.load.waiting_tokens,
            self.load.num_requests,
            0 if is_from_store else fetched_tokens,
            fetched_tokens if is_from_store else 0,
        )


class FetchSource(msgspec.Struct, frozen=True):
    """An engine or kept-KV store from which cached blocks can be fetched.

    Attributes:
        address: IP:PORT.
        zone: Zone of the source.
        cache: Blocks that it presumably has cached.
        weight_version: Weight version of its blocks; None for a store, which holds all versions.
        instance: The engine, or None for a store.
        region: Region of the source. Transfers between regions take longer than prefilling again.
    """

    address: Address
    zone: ZoneName
    cache: CachedBlocks
    weight_version: int | None = None
    instance: InstanceId | None = None
    region: RegionName = NO_REGION


class ScopedPrompt(msgspec.Struct, frozen=True):
    """A prompt with its cache scope for each version of the weights.

    Attributes:
        prompt: The prompt.
        scopes: Text of the cache scope by weight version.
    """

    prompt: Prompt
    scopes: dict[int, str]


class Choice(msgspec.Struct, frozen=True):
    """The chosen back end and the reasons for the choice.

    Attributes:
        candidate: The back end.
        scope: Cache scope, or None without a prompt.
        cached_tokens: Leading tokens that are presumably cached there.
        fetched_tokens: Further tokens that it is instructed to fetch.
        read_tokens: Tokens that it has to prefill even if the fetch succeeds.
        missed_tokens: Tokens to fetch that it will probably have to prefill, according to recent
            fetches.
        fetch_from: Address of the fetch source, or None.
        is_from_store: Whether the source is a kept-KV store, not an engine.
        estimate_s: Estimated time to the first event in seconds.
        idle_s: The same estimate for an idle back end.
        num_candidates: Number of back ends that were compared.
        idle_share: Share of these that have no prompts waiting for prefill.
        is_canary: Whether the request is for the service version under test, the canary.
    """

    candidate: Candidate
    scope: str | None = None
    cached_tokens: int = 0
    fetched_tokens: int = 0
    read_tokens: int = 0
    missed_tokens: int = 0
    fetch_from: Address | None = None
    is_from_store: bool = False
    estimate_s: float = 0.0
    idle_s: float = 0.0
    num_candidates: int = 0
    idle_share: float = 0.0
    is_canary: bool = False

    @property
    def unread_tokens(self) -> int:
        """Return the number of tokens that the engine is expected to prefill."""
        return self.read_tokens + self.missed_tokens
