"""Generate a workload plan from a workload shape and a seed."""

from collections.abc import Sequence
from random import Random

import msgspec

from weirscale.domain.identifiers import RequestId, TenantName, ZoneName
from weirscale.experiments.workload.items import (
    CallerBehaviour,
    GenerationItem,
    PlanItem,
    PromptParts,
    ServiceItem,
)
from weirscale.experiments.workload.sampling import ArrivalRate, ZipfRanks, arrival_times
from weirscale.experiments.workload.shape import WorkloadShape

NUM_NODE_CHOICES = 1 << 16
"""Node indexes are drawn below this and taken modulo the number of nodes."""
COMMON_SECTION = "common"
"""Name of the prompt section that all tenants share."""
MIN_LEAVE_S = 0.02
MAX_LEAVE_S = 1.5
"""Callers that disconnect do so after a time between MIN_LEAVE_S and MAX_LEAVE_S."""


class PlanSetting(msgspec.Struct, frozen=True):
    """Properties of the deployment that a plan depends on.

    Attributes:
        tenants: Tenants, largest first.
        zones: Zones of callers.
    """

    tenants: tuple[TenantName, ...]
    zones: tuple[ZoneName, ...]


class _Planner:
    """Draws the items of one plan; all randomness comes from one seeded generator."""

    def __init__(self, shape: WorkloadShape, setting: PlanSetting, random: Random) -> None:
        self._shape = shape
        self._setting = setting
        self._random = random
        self._tenant_ranks = ZipfRanks(len(setting.tenants), shape.tenant_skew)
        self._level_ranks = [
            ZipfRanks(level.num_children, shape.prefix_skew) for level in shape.levels
        ]
        num_large = round(shape.large_share * len(setting.tenants))
        self._large_tenants = frozenset(setting.tenants[:num_large])
        self._orders: dict[tuple[int, str, int], list[int]] = {}
        self._num_items = 0
        self._shuffle_seed = random.getrandbits(64)

    def items_at(self, time_s: float) -> list[PlanItem]:
        """Draw the items of one arrival: one, or two if an impatient caller sends again."""
        tenant = self._setting.tenants[self._tenant_ranks.draw(self._random)]
        zone = self._random.choice(self._setting.zones)
        point = self._random.random()
        mix = self._shape.service
        if point < mix.change_share:
            return self._change(time_s, tenant, zone)
        if point < mix.change_share + mix.read_share:
            return [self._read(time_s, tenant, zone)]
        return [self._generation(time_s, tenant, zone)]

    def _next_id(self) -> RequestId:
        self._num_items += 1
        return RequestId(f"{self._shape.name}-{self._num_items:06d}")

    def _node_index(self) -> int:
        return self._random.randrange(NUM_NODE_CHOICES)

    def _change(self, time_s: float, tenant: TenantName, zone: ZoneName) -> list[PlanItem]:
        mix = self._shape.service
        request_id = self._next_id()
        first = ServiceItem(
            request_id=request_id,
            send_at_s=time_s,
            tenant=tenant,
            zone=zone,
            node_index=self._node_index(),
            service=mix.service,
            method="POST",
            path=mix.change_path,
            body=f'{{"marker": "{request_id}", "tenant": "{tenant}"}}'.encode(),
            deadline_s=self._shape.service_deadline_s,
            repeatable=False,
            idempotency_key=f"key-{request_id}",
        )
        if self._random.random() >= mix.impatient_share:
            return [first]
        again = msgspec.structs.replace(
            first,
            request_id=self._next_id(),
            send_at_s=time_s + self._random.uniform(0.0, mix.patience_s),
            zone=self._random.choice(self._setting.zones),
            node_index=self._node_index(),
            repeats=request_id,
        )
        return [first, again]

    def _read(self, time_s: float, tenant: TenantName, zone: ZoneName) -> PlanItem:
        mix = self._shape.service
        request_id = self._next_id()
        return ServiceItem(
            request_id=request_id,
            send_at_s=time_s,
            tenant=tenant,
            zone=zone,
            node_index=self._node_index(),
            service=mix.service,
            method="GET",
            path=f"{mix.read_path}?marker={request_id}",
            body=b"",
            deadline_s=self._shape.service_deadline_s,
            repeatable=True,
            idempotency_key=None,
        )

    def _generation(self, time_s: float, tenant: TenantName, zone: ZoneName) -> PlanItem:
        shape = self._shape
        request_id = self._next_id()
        question = f"Request {request_id}: ".ljust(shape.question_bytes, "?")
        return GenerationItem(
            request_id=request_id,
            send_at_s=time_s,
            tenant=tenant,
            zone=zone,
            node_index=self._node_index(),
            model=shape.model,
            parts=PromptParts(sections=self._sections(time_s, tenant), question=question),
            max_tokens=self._random.randint(shape.min_tokens, shape.max_tokens),
            deadline_s=shape.deadline_s,
            behaviour=self._behaviour(),
        )

    def _sections(self, time_s: float, tenant: TenantName) -> tuple[tuple[str, int], ...]:
        """Draw one section for each nested level; the popular sections depend on the epoch."""
        epoch = self._epoch(time_s)
        path = str(tenant)
        sections: list[tuple[str, int]] = []
        if self._shape.common_bytes:
            sections.append((COMMON_SECTION, self._shape.common_bytes))
        for depth, level in enumerate(self._shape.levels):
            order = self._popularity_order(epoch, path, depth)
            child = order[self._level_ranks[depth].draw(self._random)]
            path = f"{path}/{level.name}-{child}"
            is_large = depth == 0 and tenant in self._large_tenants
            factor = self._shape.large_factor if is_large else 1
            sections.append((path, level.num_bytes * factor))
        return tuple(sections)

    def _epoch(self, time_s: float) -> int:
        interval_s = self._shape.hot_shift_every_s
        num_regular = int(time_s // interval_s) if interval_s else 0
        num_extra = sum(at_s <= time_s for at_s in self._shape.hot_shifts_at_s)
        return num_regular + num_extra

    def _popularity_order(self, epoch: int, path: str, depth: int) -> list[int]:
        """Return the children of a section in one epoch, most popular first."""
        key = (epoch, path, depth)
        if key not in self._orders:
            order = list(range(self._shape.levels[depth].num_children))
            Random(f"{self._shuffle_seed}/{epoch}/{path}").shuffle(order)
            self._orders[key] = order
        return self._orders[key]

    def _behaviour(self) -> CallerBehaviour:
        point = self._random.random()
        if point < self._shape.leave_share:
            return CallerBehaviour(leaves_after_s=self._random.uniform(MIN_LEAVE_S, MAX_LEAVE_S))
        if point < self._shape.leave_share + self._shape.slow_share:
            return CallerBehaviour(read_delay_s=self._shape.slow_read_delay_s)
        return CallerBehaviour()


def make_plan(
    shape: WorkloadShape, setting: PlanSetting, duration_s: float, seed: int
) -> Sequence[PlanItem]:
    """Generate the plan of a run.

    Args:
        shape: Shape of the workload.
        setting: Tenants and zones of the deployment.
        duration_s: First sends are planned before this time; repeats by impatient callers may be
            later.
        seed: The same seed gives the same plan.

    Returns:
        All items in order of their planned send times.
    """
    random = Random(seed)
    rate = ArrivalRate(shape.requests_per_s, shape.day_length_s, shape.day_swing, shape.bursts)
    planner = _Planner(shape, setting, random)
    items: list[PlanItem] = []
    for time_s in arrival_times(rate, duration_s, random):
        items.extend(planner.items_at(time_s))
    items.sort(key=lambda item: (item.send_at_s, item.request_id))
    return items
