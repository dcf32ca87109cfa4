"""Shapes of the compared workloads: nested prompts, skews, engines and their cache memory."""

import msgspec

from weirscale.domain.configuration.model import RoutingObjective


class Section(msgspec.Struct, frozen=True):
    """One level of nesting below the one before.

    Attributes:
        name: What it is.
        num_children: Sections of this level in each of the level above.
        num_tokens: Prompt tokens of one section.
    """

    name: str
    num_children: int
    num_tokens: int


class ChoiceShape(msgspec.Struct, frozen=True):
    """One deployment and its traffic.

    Attributes:
        name: The deployment.
        num_zones: Zones; engines and nodes are spread evenly.
        nodes_per_zone: Router nodes in a zone.
        num_engines: Model runners.
        num_tenants: Tenants, of Zipf sizes.
        sections: Nesting below a tenant, outermost first.
        num_tail_tokens: Mean tokens of the part that is the request's own.
        requests_per_s: Poisson arrivals, open loop.
        tenant_skew: Zipf exponent over tenants.
        section_skew: Zipf exponent over sections.
        hot_shift_s: Time after which other tenants and sections become the hot ones.
        answer_s: Mean time of decoding an answer.
        memory_share: Cache of all engines as a share of the shared sections' tokens.
        objective: The deployment's weights.
        tokens_per_block: Tokens in a block.
        prefill_tokens_per_s: Speed of one engine.
        max_concurrent_requests: Requests on one engine at once.
        zone_delay_s: One-way delay between zones.
    """

    name: str
    num_zones: int
    nodes_per_zone: int
    num_engines: int
    num_tenants: int
    sections: tuple[Section, ...]
    num_tail_tokens: int
    requests_per_s: float
    tenant_skew: float
    section_skew: float
    hot_shift_s: float
    answer_s: float
    memory_share: float
    objective: RoutingObjective
    tokens_per_block: int = 64
    prefill_tokens_per_s: float = 8000.0
    max_concurrent_requests: int = 64
    zone_delay_s: float = 0.0015

    @property
    def num_shared_tokens(self) -> int:
        """Tokens of all sections of all tenants: the working set."""
        total = 0
        num_sections = self.num_tenants
        for section in self.sections:
            num_sections *= section.num_children
            total += num_sections * section.num_tokens
        return total

    @property
    def blocks_per_engine(self) -> int:
        """Cache of one engine."""
        num_tokens = self.memory_share * self.num_shared_tokens / self.num_engines
        return int(num_tokens / self.tokens_per_block)


TSEHAY = ChoiceShape(
    name="tsehay",
    num_zones=3,
    nodes_per_zone=2,
    num_engines=6,
    num_tenants=8,
    sections=(
        Section("yearbook", 2, 8192),
        Section("class", 6, 4096),
        Section("page", 6, 1024),
    ),
    num_tail_tokens=256,
    requests_per_s=8.0,
    tenant_skew=1.0,
    section_skew=0.8,
    hot_shift_s=60.0,
    answer_s=1.0,
    memory_share=1 / 3,
    objective=RoutingObjective(waste_weight=1.0, tail_weight=1.0, hot_prefix_load=0.5),
)
"""Yearbook drafts: huge, reused all day; hit rate and recomputation count most."""

STARTGRID = ChoiceShape(
    name="startgrid",
    num_zones=4,
    nodes_per_zone=2,
    num_engines=9,
    num_tenants=8,
    sections=(
        Section("rulebook", 1, 6144),
        Section("season", 4, 4096),
        Section("race", 12, 2048),
    ),
    num_tail_tokens=256,
    requests_per_s=12.0,
    tenant_skew=1.0,
    section_skew=0.8,
    hot_shift_s=60.0,
    answer_s=0.5,
    memory_share=1 / 3,
    objective=RoutingObjective(waste_weight=0.5, tail_weight=1.5, hot_prefix_load=0.5),
)
"""Lobby calls and rulings on a league's rulebook and history; the tail counts most."""

SHAPES = {shape.name: shape for shape in (TSEHAY, STARTGRID)}
