"""Token bucket: a rate with a burst."""


class TokenBucket:
    """Fills at a rate up to a depth; callers take whole amounts.

    Args:
        rate_per_s: Tokens added a second.
        depth: Most tokens held.
        now_s: Monotonic time of creation.
        num_tokens: Tokens held at first; the depth when None.
    """

    def __init__(
        self, rate_per_s: float, depth: float, now_s: float, num_tokens: float | None = None
    ) -> None:
        self.rate_per_s = rate_per_s
        self.depth = depth
        self._num_tokens = depth if num_tokens is None else num_tokens
        self._updated_at_s = now_s

    def available(self, now_s: float) -> float:
        """Tokens held now."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._num_tokens = min(self.depth, self._num_tokens + elapsed_s * self.rate_per_s)
        self._updated_at_s = max(now_s, self._updated_at_s)
        return self._num_tokens

    def take(self, amount: float, now_s: float) -> bool:
        """Take an amount if it is there."""
        if self.available(now_s) < amount:
            return False
        self._num_tokens -= amount
        return True

    def add(self, amount: float, now_s: float) -> None:
        """Add tokens received from elsewhere, up to the depth."""
        self._num_tokens = min(self.depth, self.available(now_s) + amount)
