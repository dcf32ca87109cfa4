"""Messages with which nodes distribute the configuration and report their revision."""

import msgspec

from weirscale.domain.identifiers import ConfigurationRevision, NodeId, ZoneName

NO_BASE_REVISION = ConfigurationRevision(0)
"""Revision 0, which no configuration has. As a base it means that a reply carries a whole
deployment; as a node's revision, that the node has none."""


class ConfigurationAnnounce(msgspec.Struct, frozen=True, tag="conf_announce", array_like=True):
    """Cast: announce the sender's revision; 0 for none."""

    revision: ConfigurationRevision


class ConfigurationFetch(msgspec.Struct, frozen=True, tag="conf_fetch", array_like=True):
    """Call: send the configuration, if possible as a delta from this revision; 0 for the whole."""

    have_revision: ConfigurationRevision


class ConfigurationReply(msgspec.Struct, frozen=True, tag="conf_reply", array_like=True):
    """Answer to a fetch.

    Attributes:
        revision: The sender's revision; 0 for none.
        base_revision: Revision to which the payload is a delta; 0 for a whole deployment.
        digest: Digest of the deployment at `revision`, to verify the result.
        payload: Encoded delta or deployment; empty if `revision` is not above `have_revision`.
    """

    revision: ConfigurationRevision
    base_revision: ConfigurationRevision
    digest: bytes
    payload: bytes


class ConfigurationStatusQuery(msgspec.Struct, frozen=True, tag="conf_query", array_like=True):
    """Call: report the revision in force and the state of its distribution."""


class ConfigurationStatusReply(msgspec.Struct, frozen=True, tag="conf_status", array_like=True):
    """Answer to a status query.

    Attributes:
        node: The answering node.
        zone: The node's zone.
        revision: The revision in force at the node; 0 for none.
        highest_known: The highest revision that the node received from any peer or the store.
        is_reader: Whether the node reads the key-value service for its zone.
        last_problem: Why the node's last attempt to apply a revision failed; empty if it did not.
    """

    node: NodeId
    zone: ZoneName
    revision: ConfigurationRevision
    highest_known: ConfigurationRevision
    is_reader: bool
    last_problem: str
