"""Token bucket: a rate limit that allows bursts."""


class TokenBucket:
    """A bucket that fills at a constant rate up to a depth.

    Args:
        rate_per_s: Tokens added per second.
        depth: Maximum number of tokens held.
        now_s: Monotonic time of creation.
        num_tokens: Tokens held at creation; the depth when None.
    """

    def __init__(
        self, rate_per_s: float, depth: float, now_s: float, num_tokens: float | None = None
    ) -> None:
        self.rate_per_s = rate_per_s
        self.depth = depth
        self._num_tokens = depth if num_tokens is None else num_tokens
        self._updated_at_s = now_s

    def available(self, now_s: float) -> float:
        """Return the number of tokens held now."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._num_tokens = min(self.depth, self._num_tokens + elapsed_s * self.rate_per_s)
        self._updated_at_s = max(now_s, self._updated_at_s)
        return self._num_tokens

    def take(self, amount: float, now_s: float) -> bool:
        """Take an amount; return False and take nothing if it is not available."""
        if self.available(now_s) < amount:
            return False
        self._num_tokens -= amount
        return True

    def add(self, amount: float, now_s: float) -> None:
        """Add tokens received from elsewhere, up to the depth."""
        self._num_tokens = min(self.depth, self.available(now_s) + amount)
