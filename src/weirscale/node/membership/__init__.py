"""The task that runs the membership protocol over the peer link."""

from weirscale.node.membership.task import MembershipTask

__all__ = ["MembershipTask"]
