"""Limits the memory of the answers that a node holds before it relays them.

Back ends in trouble may send bytes without end, to many requests at once. If all buffers together
exceed the limit, the largest is discarded first, so that answers of usual size are not affected.
"""

from collections.abc import Callable

from weirscale.gateway.ports.back_end import BodyBrokenError, BodyEnd

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Maximum size in bytes of all buffers together; a machine has some hundred megabytes."""


class AnswerBuffer:
    """The size of one buffer.

    Args:
        owner: All buffers of the node.
        discard: Empties the buffer.
    """

    def __init__(self, owner: "AnswerBuffers", discard: Callable[[], None]) -> None:
        self._owner = owner
        self._discard = discard
        self._is_discarded = False
        self.num_bytes = 0

    def resize(self, num_bytes: int) -> None:
        """Set the size, after which the largest buffers may be discarded.

        Raises:
            BodyBrokenError: This buffer was discarded, now or earlier.
        """
        self.check()
        self._owner.resize(self, num_bytes)
        self.check()

    def check(self) -> None:
        """Make sure that the contents are still held.

        Raises:
            BodyBrokenError: This buffer was discarded.
        """
        if self._is_discarded:
            raise BodyBrokenError(BodyEnd.TOO_LARGE)

    def discard(self) -> None:
        """Empty the buffer; `resize` raises an error from now on."""
        self._is_discarded = True
        self._discard()

    def close(self) -> None:
        """Release the buffer, whose contents are no longer held."""
        self._owner.release(self)


class AnswerBuffers:
    """All buffers of a node.

    Args:
        max_bytes: Maximum size of all together.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffers: set[AnswerBuffer] = set()
        self.num_bytes = 0

    def open(self, discard: Callable[[], None]) -> AnswerBuffer:
        """Return a new buffer of size 0.

        Args:
            discard: Empties the buffer; called if it is the largest one and memory is short.
        """
        return AnswerBuffer(self, discard)

    def resize(self, buffer: AnswerBuffer, num_bytes: int) -> None:
        """Set the size of a buffer, and discard the largest ones if memory is short."""
        self.num_bytes += num_bytes - buffer.num_bytes
        buffer.num_bytes = num_bytes
        self._buffers.add(buffer)
        while self.num_bytes > self._max_bytes:
            largest = max(self._buffers, key=lambda other: other.num_bytes)
            self.release(largest)
            largest.discard()

    def release(self, buffer: AnswerBuffer) -> None:
        """Stop counting a buffer."""
        if buffer in self._buffers:
            self._buffers.discard(buffer)
            self.num_bytes -= buffer.num_bytes
            buffer.num_bytes = 0
