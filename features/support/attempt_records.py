"""Attempt records for tests that check only the load and the gossip."""

from weirscale.gateway.requests.attempt_records import AttemptRecords


def attempt_records(load, send_gossip_now):
    """Return attempt records without the parts that are not needed for load and gossip."""
    unused = dict.fromkeys(("dispatcher", "outbox", "pauses", "verdicts"))
    return AttemptRecords(
        load=load, budget=NoBudget(), send_gossip_now=send_gossip_now, clock=lambda: 0.0, **unused
    )


class NoBudget:
    """A retry budget that ignores requests."""

    def record_request(self, _service, _now_s):
        """Do nothing."""
