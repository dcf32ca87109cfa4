"""A deployment of the design size: 1700 engines and 290 tenants."""

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

NUM_ENGINES = 1700
NUM_TENANTS = 290
NUM_MODELS = 5
NUM_ZONES = 18
HOSTS_PER_SUBNET = 250


def large_deployment(version: str = "1") -> Deployment:
    """Return the canonical deployment, with the given weight version of its first model."""
    zones = tuple(ZoneName(f"zone-{number}") for number in range(NUM_ZONES))
    engines = tuple(
        Engine(
            name=EngineName(f"engine-{number}"),
            zone=zones[number % NUM_ZONES],
            address=_address(number),
            model=ModelName(f"model-{number % NUM_MODELS}"),
        )
        for number in range(NUM_ENGINES)
    )
    models = tuple(
        Model(ModelName(f"model-{number}"), WeightVersion(version if number == 0 else "1"))
        for number in range(NUM_MODELS)
    )
    tenants = tuple(
        Tenant(TenantName(f"tenant-{number}"), (hashlib.sha256(b"%d" % number).hexdigest(),))
        for number in range(NUM_TENANTS)
    )
    regions = (Region(RegionName("region"), zones),)
    return canonical(Deployment(1, "large", regions, models, engines, tenants))


def _address(number: int) -> str:
    subnet, host = divmod(number, HOSTS_PER_SUBNET)
    return f"10.{number % NUM_ZONES}.{subnet}.{host}:8000"
