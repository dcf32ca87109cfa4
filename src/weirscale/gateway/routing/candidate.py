"""Types of a choice: the back ends to compare, what is wanted of them, and what was chosen."""

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
        load: Work of all nodes there.
        is_suspect: Whether it is being tried again after failures.
        cache: What it is believed to keep, or None for other services.
        capacity_tokens: Tokens that fit into its memory.
        weight_version: Version of the weights asked for, or None.
        load_age_s: Age of the oldest gossip in the load; known for the chosen one only.
        newest_version: The newest weights wanted, where its own are older; None otherwise.
        weights_behind_s: For how long weights newer than its own have been wanted.
        begins_within_s: Until its weights are too old for a request to begin on.
        recent_wait_s: This node's longest recent wait for a first event, at any engine.
        belongs_to_other_group: Whether another group of nodes prefers it.
        region: Its region.
        is_cross_region: Whether it stands in another region than this node.
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

    @property
    def has_old_weights(self) -> bool:
        """Whether newer weights than its own are wanted."""
        return self.newest_version is not None

    def prefill_work(
        self, read_tokens: int, fetched_tokens: int, is_from_store: bool
    ) -> PrefillWork:
        """Return what a request that has some tokens to read and to fetch meets here."""
        return PrefillWork(
            read_tokens,
            self.load.waiting_tokens,
            self.load.num_requests,
            0 if is_from_store else fetched_tokens,
            fetched_tokens if is_from_store else 0,
        )


class FetchSource(msgspec.Struct, frozen=True):
    """Where cached blocks can be fetched.

    Attributes:
        address: IP:PORT.
        zone: Where it stands.
        cache: What it is believed to keep.
        weight_version: Version that its blocks are of; None for a store, which keeps all.
        instance: The engine, or None for a store.
        region: Where it stands: moves between regions take longer than reading again.
    """

    address: Address
    zone: ZoneName
    cache: CachedBlocks
    weight_version: int | None = None
    instance: InstanceId | None = None
    region: RegionName = NO_REGION


class ScopedPrompt(msgspec.Struct, frozen=True):
    """A prompt and the scope of its blocks for each version of the weights.

    Attributes:
        prompt: The prompt.
        scopes: Scope text by weight version.
    """

    prompt: Prompt
    scopes: dict[int, str]


class Choice(msgspec.Struct, frozen=True):
    """The chosen back end and what decided it.

    Attributes:
        candidate: The back end.
        scope: Cache scope, or None without a prompt.
        cached_tokens: Leading tokens that it is believed to keep.
        fetched_tokens: Further tokens that it is to fetch.
        read_tokens: Tokens that it has to read whether the fetch comes or not.
        missed_tokens: Tokens to fetch that it is expected to read, as fetches came of late.
        fetch_from: Address of the source of the fetch, or None.
        is_from_store: Whether that is a kept-KV store, not an engine.
        estimate_s: Estimated time to the first event.
        idle_s: The same, were nothing else at work there.
        num_candidates: How many back ends were compared.
        idle_share: Share of these without any prompt to read.
        is_canary: Whether it tries a version of the service's program that is not proved.
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
        """Tokens that the engine is expected to read."""
        return self.read_tokens + self.missed_tokens
