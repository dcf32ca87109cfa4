"""Messages with which nodes share the tenants' limits; they list only tenants with demand."""

import msgspec


class TenantDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of a node for one tenant.

    Attributes:
        tenant: 32-bit digest of the tenant's name.
        num_requests: Tokens of the request rate limit that the node requests.
        num_prompt_tokens: Tokens of the prompt-token rate limit that the node requests.
        slots_held: Concurrency slots that the node holds or uses.
        slots_wanted: Concurrency slots that the node could use, including those it holds.
    """

    tenant: int
    num_requests: int
    num_prompt_tokens: int
    slots_held: int
    slots_wanted: int


class LimitDemand(msgspec.Struct, frozen=True, tag="lim_d", array_like=True):
    """Cast to the home node of some tenants' limits.

    Attributes:
        run: The sender's incarnation.
        sequence: Grows with each demand of the run to this home node.
        is_home: Whether the sender makes the request as the home node of another zone.
        items: The demands, one per tenant.
    """

    run: int
    sequence: int
    is_home: bool
    items: tuple[TenantDemand, ...]


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant of a home node for one tenant.

    Attributes:
        tenant: 32-bit digest of the tenant's name.
        num_requests: Tokens of the request rate limit, granted permanently.
        num_prompt_tokens: Tokens of the prompt-token rate limit, granted permanently.
        slots: Concurrency slots that the node may hold from now on, until they expire.
        requests_per_s: Rate that the node can expect, for estimates of its callers' wait.
    """

    tenant: int
    num_requests: int
    num_prompt_tokens: int
    slots: int
    requests_per_s: float


class LimitGrant(msgspec.Struct, frozen=True, tag="lim_g", array_like=True):
    """Cast: the answer to one demand; void if a later demand was sent.

    Attributes:
        run: Incarnation of the node that sent the demand.
        sequence: Sequence number of the demand.
        is_home: Whether the demand came from the home node of another zone.
        items: The grants, one per tenant.
    """

    run: int
    sequence: int
    is_home: bool
    items: tuple[TenantGrant, ...]
