from weirscale.domain.choice.eligible import eligible_candidates, relative_load
from weirscale.domain.choice.policy import Choice


class LeastOutstanding:
    """A routing policy for tests of other parts: the least loaded engine, ties at random."""

    def choose(self, request, candidates, now_s, random):
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        chosen = min(eligible, key=lambda candidate: (relative_load(candidate), random.random()))
        return Choice(engine=chosen.engine, estimates=())

    def record_send(self, request, engine, now_s):
        """Do nothing: the load of a candidate already includes requests sent to it."""

    def record_completion(self, request, engine, num_cached_tokens, now_s):
        """Do nothing: the policy keeps no estimates."""
