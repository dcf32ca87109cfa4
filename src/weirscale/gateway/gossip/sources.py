"""Names of the sources of received loads and counts: a group member, or a sum of groups."""

from weirscale.gateway.peers.messages import REST_OF_FLEET

GROUP_SOURCE = "group:"
"""Prefix of the source name of another group's sum. Names of nodes contain no colon."""

REST_SOURCE = GROUP_SOURCE + REST_OF_FLEET
"""Source name of the sum of all other groups, which the head of this node's group sends."""


def is_group(source: str) -> bool:
    """Return whether a source is the sum of one or more groups."""
    return source.startswith(GROUP_SOURCE)


def is_member(source: str) -> bool:
    """Return whether a source is a node of this node's group."""
    return not is_group(source)
