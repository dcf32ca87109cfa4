"""Byte budget of send notices (`send_note` casts): a token bucket for all receivers together."""

NOTE_OVERHEAD_BYTES = 80
"""Encoded size of a notice without keys, with its signature."""

BURST_S = 2.0
"""Unused budget is kept for this long, enough for the burst when the set of hot prompts changes."""


class NoteBudget:
    """Decides whether a send notice may be sent.

    Args:
        bytes_per_s: Budget for all receivers together.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._allowance_bytes = bytes_per_s * BURST_S
        self._counted_at_s: float | None = None

    def may_send(self, num_key_bytes: int, num_receivers: int, now_s: float) -> bool:
        """Return whether a notice to all receivers fits into the budget; count it if it does."""
        if self._counted_at_s is not None:
            earned = (now_s - self._counted_at_s) * self._bytes_per_s
            max_bytes = self._bytes_per_s * BURST_S
            self._allowance_bytes = min(self._allowance_bytes + earned, max_bytes)
        self._counted_at_s = now_s
        num_bytes = (num_key_bytes + NOTE_OVERHEAD_BYTES) * num_receivers
        if num_bytes > self._allowance_bytes:
            return False
        self._allowance_bytes -= num_bytes
        return True
