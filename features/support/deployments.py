"""The shipped deployments, and one of the size to design for."""

import hashlib
from pathlib import Path

from weirscale.domain.configuration.difference import canonical
from weirscale.domain.configuration.model import Deployment, Engine, Model, Region, Tenant

DEPLOYMENTS = Path(__file__).parents[2] / "deployments"


def text_of(name):
    return (DEPLOYMENTS / f"{name}.yaml").read_text()


def large_deployment(version="1"):
    """Return 1,700 engines in 18 zones, 5 models and 290 tenants."""
    zones = tuple(f"zone-{i}" for i in range(18))
    engines = tuple(
        Engine(
            f"engine-{i}",
            zones[i % 18],
            f"10.{i % 18}.{i // 250}.{i % 250}:8000",
            f"model-{i % 5}",
        )
        for i in range(1700)
    )
    models = tuple(Model(f"model-{i}", version if i == 0 else "1") for i in range(5))
    tenants = tuple(
        Tenant(f"tenant-{i}", (hashlib.sha256(str(i).encode()).hexdigest(),)) for i in range(290)
    )
    return canonical(Deployment(1, "large", (Region("r", zones),), models, engines, tenants))
