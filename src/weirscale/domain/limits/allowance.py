"""What one node may start for one tenant now."""

PROMPT_BURST_S = 10.0
"""Depth of the prompt token bucket in seconds of its rate: room for one long draft at once."""


class TenantAllowance:
    """The node's allowance for a tenant; this one is for tenants without limits."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Whether a request may start now."""
        return True

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Account for a request that starts; only after `can_start`."""

    def finish(self) -> None:
        """Account for the end of a request."""

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Time for the rates to admit this many requests, the asked one included."""
        return 0.0

    def num_slots(self, now_s: float) -> int | None:
        """Requests that may run at once; None for no limit."""
        return None
