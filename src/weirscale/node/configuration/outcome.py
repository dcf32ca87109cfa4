"""The outcomes of an `apply`: accepted, refused or unknown."""

import msgspec

from weirscale.domain.configuration.encode import AppliedChange


class Accepted(msgspec.Struct, frozen=True):
    """The file is the declared configuration.

    Attributes:
        revision: Revision of the file's content; a later one may already have replaced it.
        was_in_place: Whether the store already held the same content.
    """

    revision: int
    was_in_place: bool = False


class Refused(msgspec.Struct, frozen=True):
    """The file was not applied, and this `apply` will not take effect later.

    Attributes:
        message: The reason.
        remedy: What the operator can do.
        current_revision: The store's revision of the configuration; None if it was not read.
        changes_since: Changes applied since the revision that the file was made from.
    """

    message: str
    remedy: str
    current_revision: int | None = None
    changes_since: tuple[AppliedChange, ...] = ()


class Unknown(msgspec.Struct, frozen=True):
    """The file may have been applied; running the same command again resolves it.

    Attributes:
        message: The reason.
        remedy: What the operator can do.
    """

    message: str
    remedy: str


ApplyOutcome = Accepted | Refused | Unknown
