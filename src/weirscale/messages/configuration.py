"""Messages by which nodes spread the configuration and tell how far they are."""

import msgspec

from weirscale.domain.identifiers import ConfigurationRevision, NodeId, ZoneName

NO_BASE_REVISION = ConfigurationRevision(0)
"""Base revision of a reply that carries a whole deployment; no revision is 0."""


class ConfigurationAnnounce(msgspec.Struct, frozen=True, tag="conf_announce", array_like=True):
    """Cast: the sender has this revision (0 for none)."""

    revision: ConfigurationRevision


class ConfigurationFetch(msgspec.Struct, frozen=True, tag="conf_fetch", array_like=True):
    """Call: send what you have, as a delta from this revision if you can (0: whole)."""

    have_revision: ConfigurationRevision


class ConfigurationReply(msgspec.Struct, frozen=True, tag="conf_reply", array_like=True):
    """Answer to a fetch.

    Attributes:
        revision: The sender's revision, 0 when it has none.
        base_revision: What the payload is a delta from; 0 when it is a whole deployment.
        digest: Digest of the deployment at `revision`, to check the result with.
        payload: Encoded delta or deployment; empty when `revision` is not above `have_revision`.
    """

    revision: ConfigurationRevision
    base_revision: ConfigurationRevision
    digest: bytes
    payload: bytes


class ConfigurationStatusQuery(msgspec.Struct, frozen=True, tag="conf_query", array_like=True):
    """Call: how far are you?"""


class ConfigurationStatusReply(msgspec.Struct, frozen=True, tag="conf_status", array_like=True):
    """Answer to a status query.

    Attributes:
        node: Who answers.
        zone: Its zone.
        revision: In force there, 0 for none.
        highest_known: Highest revision that any peer or the store has told it of.
        is_reader: Whether it reads the key-value service for its zone.
        last_problem: Why its last attempt to take a revision failed; empty when it did not.
    """

    node: NodeId
    zone: ZoneName
    revision: ConfigurationRevision
    highest_known: ConfigurationRevision
    is_reader: bool
    last_problem: str
