"""What all processes of the comparison share: names, sizes and the deployment."""

import hashlib

import msgspec

from weirscale.domain.configuration.model import (
    Deployment,
    Engine,
    Model,
    Region,
    RoutingObjective,
    Tenant,
)
from weirscale.domain.identifiers import (
    EngineName,
    ModelName,
    RegionName,
    TenantName,
    WeightVersion,
    ZoneName,
)

MODEL = ModelName("bench-model")
VERSION = WeightVersion("v1")
ZONE = ZoneName("bench-zone")
API_KEY = "bench-key"
PROMPT_BYTES = 20_000
NUM_TOKENS = 128
NUM_DRAFTS = 8
"""Prompts share this many long prefixes, as drafts are shared."""

READY_PREFIX = "ready "
"""A child prints this and its addresses as JSON on one line when it serves."""


class PlatformAddresses(msgspec.Struct, frozen=True):
    """Where the platform process listens."""

    engine: str
    key_value: str


class ServerAddress(msgspec.Struct, frozen=True):
    """Where a relay or a node listens."""

    address: str


def deployment(engine_address: str) -> Deployment:
    """Return a deployment of one engine and one tenant without limits."""
    return Deployment(
        format=1,
        name="bench",
        regions=(Region(RegionName("bench-region"), (ZONE,)),),
        models=(Model(MODEL, VERSION),),
        engines=(
            Engine(
                EngineName("engine-1"),
                ZONE,
                engine_address,
                MODEL,
                max_concurrent_requests=256,
                num_total_blocks=65_536,
                prefill_tokens_per_s=1e6,
            ),
        ),
        tenants=(Tenant(TenantName("bench"), (hashlib.sha256(API_KEY.encode()).hexdigest(),)),),
        routing=RoutingObjective(),
    )


def prompt(number: int) -> str:
    """Return a prompt of PROMPT_BYTES: a shared draft and an end of its own."""
    draft = number % NUM_DRAFTS
    own = f" question {number}"
    line = f"Draft {draft}: the class of this year and the names of its pupils. "
    shared = line * (PROMPT_BYTES // len(line) + 1)
    return shared[: PROMPT_BYTES - len(own)] + own


def body(number: int) -> bytes:
    """Return the body of a streamed chat completion."""
    return msgspec.json.encode(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt(number)}],
            "max_tokens": NUM_TOKENS,
            "stream": True,
        }
    )


def announce(addresses: msgspec.Struct) -> None:
    """Tell the parent that this process serves."""
    print(READY_PREFIX + msgspec.json.encode(addresses).decode(), flush=True)
