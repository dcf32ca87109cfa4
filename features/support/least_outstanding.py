from weirscale.domain.choice.eligible import eligible_candidates, relative_load
from weirscale.domain.choice.policy import Choice


class LeastOutstanding:
    """A policy for tests of what surrounds it: the least loaded engine, ties by chance."""

    def choose(self, request, candidates, now_s, random):
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        chosen = min(eligible, key=lambda each: (relative_load(each), random.random()))
        return Choice(engine=chosen.engine, estimates=())

    def record_send(self, request, engine, now_s):
        """Candidates already count what was sent."""

    def record_completion(self, request, engine, num_cached_tokens, now_s):
        """Nothing to learn."""
