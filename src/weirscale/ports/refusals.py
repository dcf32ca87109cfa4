"""Tells refused connections from other failures."""


def is_caused_by_refusal(error: BaseException) -> bool:
    """Return whether an error, or one that caused it, is a refused connection."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__
    return False
