"""The requests that one node may start for one tenant now."""

PROMPT_BURST_S = 10.0
"""Depth of the prompt token bucket in seconds of its rate: room for one long prompt at once."""


class TenantAllowance:
    """The node's allowance for a tenant; this base class is for tenants without limits."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Return whether a request may start now."""
        return True

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Record the start of a request; call it only after `can_start` returned True."""

    def finish(self) -> None:
        """Record the end of a request."""

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Return the seconds until the rates admit `num_ahead` requests, the new one included."""
        return 0.0

    def num_slots(self, now_s: float) -> int | None:
        """Return how many requests may run at once; None for no limit."""
        return None
