"""Byte budget of notes about sends: a token bucket over all receivers together."""

NOTE_OVERHEAD_BYTES = 80
"""Encoded size of a note without keys, with its signature."""

BURST_S = 2.0
"""Unused budget is kept for so long, which lets a shift of the hot set through at once."""


class NoteBudget:
    """Decides whether a note may be sent.

    Args:
        bytes_per_s: Budget over all receivers.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._allowance_bytes = bytes_per_s * BURST_S
        self._counted_at_s: float | None = None

    def may_send(self, num_key_bytes: int, num_receivers: int, now_s: float) -> bool:
        """Return whether a note to all receivers fits, and count it if it does."""
        if self._counted_at_s is not None:
            earned = (now_s - self._counted_at_s) * self._bytes_per_s
            most = self._bytes_per_s * BURST_S
            self._allowance_bytes = min(self._allowance_bytes + earned, most)
        self._counted_at_s = now_s
        num_bytes = (num_key_bytes + NOTE_OVERHEAD_BYTES) * num_receivers
        if num_bytes > self._allowance_bytes:
            return False
        self._allowance_bytes -= num_bytes
        return True
