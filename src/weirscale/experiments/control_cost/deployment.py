"""Deployments of the size to design for, and smaller ones of the same shape."""

import hashlib

from weirscale.domain.configuration.difference import canonical
from weirscale.domain.configuration.model import Deployment, Engine, Model, Region, Tenant
from weirscale.domain.identifiers import (
    EngineName,
    ModelName,
    RegionName,
    TenantName,
    WeightVersion,
    ZoneName,
)

NUM_REGIONS = 8
NUM_ZONES = 18
NUM_MODELS = 5
NUM_TENANTS = 290
NUM_ENGINES_PER_NODE = 4.25
"""1,700 model runners behind 400 nodes."""

HOSTS_PER_SUBNET = 250
FIRST_VERSION = WeightVersion("1")


def zone_names() -> tuple[ZoneName, ...]:
    """Return the names of all zones."""
    return tuple(ZoneName(f"zone-{number:02d}") for number in range(NUM_ZONES))


def region_zones() -> tuple[tuple[ZoneName, ...], ...]:
    """Return each region's zones: two or three."""
    zones = zone_names()
    return tuple(zones[number::NUM_REGIONS] for number in range(NUM_REGIONS))


def model_of(number: int) -> ModelName:
    """Return the model that an engine serves."""
    return ModelName(f"model-{number % NUM_MODELS}")


def design_deployment(num_engines: int, num_blocks: int, change: int = 0) -> Deployment:
    """Return a deployment, canonical.

    Args:
        num_engines: Model runners, spread over all zones.
        num_blocks: Blocks that each engine's cache holds.
        change: Changes one tenant's priority, as an ordinary change of a day does.
    """
    zones = zone_names()
    engines = tuple(
        Engine(
            name=EngineName(f"engine-{number:04d}"),
            zone=zones[number % NUM_ZONES],
            address=f"10.{100 + number // HOSTS_PER_SUBNET}.0.{number % HOSTS_PER_SUBNET + 1}:8000",
            model=model_of(number),
            num_total_blocks=num_blocks,
        )
        for number in range(num_engines)
    )
    models = tuple(Model(model_of(number), FIRST_VERSION) for number in range(NUM_MODELS))
    tenants = tuple(_tenant(number, change) for number in range(NUM_TENANTS))
    regions = tuple(
        Region(RegionName(f"region-{number}"), region)
        for number, region in enumerate(region_zones())
    )
    return canonical(Deployment(1, "design", regions, models, engines, tenants))


def _tenant(number: int, change: int) -> Tenant:
    is_changed = number == change % NUM_TENANTS
    return Tenant(
        name=TenantName(f"tenant-{number:03d}"),
        api_key_sha256=(hashlib.sha256(b"%d" % number).hexdigest(),),
        priority=10 + change if is_changed else 10,
        requests_per_s=20.0,
    )
