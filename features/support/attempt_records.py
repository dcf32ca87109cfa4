"""Records of attempts for tests that only look at a part of them."""

from weirscale.gateway.requests.attempt_records import AttemptRecords


def attempt_records(load, send_gossip_now):
    """Return records of attempts of which only load and gossip matter."""
    parts = dict.fromkeys(("dispatcher", "outbox", "pauses", "verdicts"))
    return AttemptRecords(
        load=load, budget=NoBudget(), send_gossip_now=send_gossip_now, clock=lambda: 0.0, **parts
    )


class NoBudget:
    """A retry budget that nobody spends."""

    def record_request(self, _service, _now_s):
        """Take no notice."""
