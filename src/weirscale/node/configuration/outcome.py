"""What an `apply` answers: accepted, refused or unknown, always truthfully."""

import msgspec

from weirscale.domain.configuration.encode import AppliedChange


class Accepted(msgspec.Struct, frozen=True):
    """The file is the declared state.

    Attributes:
        revision: Revision at which it is (or was, if another followed at once).
        was_in_place: Whether the store held the same content already.
    """

    revision: int
    was_in_place: bool = False


class Refused(msgspec.Struct, frozen=True):
    """The file was not applied, and will not be by this attempt.

    Attributes:
        message: Why.
        remedy: How to go on.
        current_revision: The store's revision of the configuration, None if it was not read.
        changes_since: What others have applied since the revision that the file was made from.
    """

    message: str
    remedy: str
    current_revision: int | None = None
    changes_since: tuple[AppliedChange, ...] = ()


class Unknown(msgspec.Struct, frozen=True):
    """The file may have been applied; running the same command again finds out."""

    message: str
    remedy: str


ApplyOutcome = Accepted | Refused | Unknown
