"""Messages by which nodes share the tenants' limits; only tenants with demand are in them."""

import msgspec


class TenantDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a node asks for one tenant.

    Attributes:
        tenant: 32-bit digest of the tenant's name.
        num_requests: Request tokens wanted.
        num_prompt_tokens: Prompt tokens wanted.
        slots_held: Concurrency slots that the node holds or uses.
        slots_wanted: Concurrency slots that it could use, held ones included.
    """

    tenant: int
    num_requests: int
    num_prompt_tokens: int
    slots_held: int
    slots_wanted: int


class LimitDemand(msgspec.Struct, frozen=True, tag="lim_d", array_like=True):
    """Cast to the home of some tenants' limits.

    Attributes:
        run: The sender's incarnation.
        sequence: Grows with each demand of the run to this home.
        is_home: Whether the sender asks as the home of another zone.
        items: What it asks.
    """

    run: int
    sequence: int
    is_home: bool
    items: tuple[TenantDemand, ...]


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """What a home gives for one tenant.

    Attributes:
        tenant: 32-bit digest of the tenant's name.
        num_requests: Request tokens given for good.
        num_prompt_tokens: Prompt tokens given for good.
        slots: Concurrency slots that the node may hold from now on, until they expire.
        requests_per_s: Rate that the node may expect, for estimates of its callers' wait.
    """

    tenant: int
    num_requests: int
    num_prompt_tokens: int
    slots: int
    requests_per_s: float


class LimitGrant(msgspec.Struct, frozen=True, tag="lim_g", array_like=True):
    """Cast: the answer to one demand, void if a later one was sent.

    Attributes:
        run: Incarnation of the node asked for.
        sequence: The demand's sequence.
        is_home: Whether it answers a home of another zone.
        items: What is given.
    """

    run: int
    sequence: int
    is_home: bool
    items: tuple[TenantGrant, ...]
