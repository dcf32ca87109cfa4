"""Names under which received loads and counts are kept: a member's own, or a sum of groups."""

from weirscale.gateway.peers.messages import REST_OF_FLEET

GROUP_SOURCE = "group:"
"""Prefix of the source of another group's sum; names of nodes have no colon."""

REST_SOURCE = GROUP_SOURCE + REST_OF_FLEET
"""Source of the sum of all other groups, as the head of this node's group sends it."""


def is_group(source: str) -> bool:
    """Whether a source is the sum of one or more groups."""
    return source.startswith(GROUP_SOURCE)


def is_member(source: str) -> bool:
    """Whether a source is a node of this node's group."""
    return not is_group(source)
