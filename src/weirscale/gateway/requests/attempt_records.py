"""Records attempts: back-end load, estimated cache contents, measured times and gossip of sends."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.gossip_entries import SendGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.requests.attempt_verdict import Verdict
from weirscale.gateway.requests.back_end_verdicts import BackEndVerdicts
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.load import FleetLoad

LONG_PREFILL_TOKENS = 2_000
"""A prompt that needs at least this many tokens of prefill (about 50 ms) is gossiped to the group
at once, because two such prompts at one engine make every stream there pause. Together with a
change of quotas this raised the worth of a run (value earned less cost, as a share of the maximum)
from 0.576 to 0.632."""


class EndedAttempt(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Attributes:
        verdict: What the end of the attempt proves.
        times: Time of the first event and number of parts.
        took_s: Duration of the attempt.
        is_first: Whether it was the first attempt at the request.
    """

    verdict: Verdict
    times: AttemptTimes
    took_s: float
    is_first: bool


class AttemptRecords:
    """Records the attempts of a node.

    Args:
        dispatcher: Estimates cache contents and response times.
        load: Load of the back ends.
        budget: Shared retry budget, which grows with the requests sent.
        outbox: Queues gossip for the other nodes.
        send_gossip_now: Sends queued gossip without waiting for the next regular message.
        pauses: Pauses of streams.
        verdicts: Evaluates back ends by the ends of attempts.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        load: FleetLoad,
        budget: SharedRetryBudget,
        outbox: GossipOutbox,
        send_gossip_now: Callable[[], None],
        pauses: StreamPauses,
        verdicts: BackEndVerdicts,
        clock: Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.pauses = pauses
        self.verdicts = verdicts
        self._load = load
        self._budget = budget
        self._outbox = outbox
        self._send_gossip_now = send_gossip_now
        self._clock = clock
        self._unread_tokens: dict[int, int] = {}
        """Prompt tokens still to be prefilled, by the `id()` of the attempt's choice."""

    def record_start(self, choice: Choice, prompt: Prompt | None, is_unreached: bool) -> None:
        """Record the start of an attempt.

        Args:
            choice: The selected back end and its estimates.
            prompt: The prompt; None if the request is not a generation.
            is_unreached: Whether no earlier attempt at the request reached a back end.
        """
        back_end = choice.candidate.back_end
        held_tokens = prompt.num_tokens if prompt else 0
        self._load.request_sent(back_end.instance, choice.unread_tokens, held_tokens)
        self._unread_tokens[id(choice)] = choice.unread_tokens
        if is_unreached:
            self._budget.record_request(back_end.service, self._clock())
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_sent(choice, prompt)
            self._gossip_send(choice, prompt, is_ready=False)
        if choice.unread_tokens >= LONG_PREFILL_TOKENS:
            self._send_gossip_now()

    def record_first_event(self, choice: Choice, prompt: Prompt | None, took_s: float) -> None:
        """Record that the first event of an attempt arrived, so its prompt has been prefilled."""
        self.pauses.stream_began(choice.candidate.back_end)
        self.dispatcher.wait_ended(choice)
        self.dispatcher.first_event_received(choice, took_s)
        instance = choice.candidate.back_end.instance
        self._load.first_event_received(instance, self._unread_tokens.pop(id(choice), 0))
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_read(choice, prompt)
            self._gossip_send(choice, prompt, is_ready=True)

    def is_busy_with_others(self, choice: Choice, since_s: float) -> bool:
        """Return whether an attempt's engine is busy with the prompts of other requests.

        Args:
            choice: The attempt's choice.
            since_s: The engine must have worked after this time.
        """
        own_tokens = self._unread_tokens.get(id(choice), 0)
        return self.dispatcher.is_busy_with_others(choice, own_tokens, since_s)

    def record_end(
        self, choice: Choice, prompt: Prompt | None, route: Route, ended: EndedAttempt
    ) -> None:
        """Record the end of an attempt and evaluate its back end."""
        self.dispatcher.wait_ended(choice)
        back_end = choice.candidate.back_end
        was_unread = id(choice) in self._unread_tokens
        self._load.first_event_received(back_end.instance, self._unread_tokens.pop(id(choice), 0))
        self._load.request_ended(back_end.instance, prompt.num_tokens if prompt else 0)
        if was_unread and prompt is not None:
            self.dispatcher.prompt_not_read(choice, prompt)
        self.verdicts.update_health(back_end, ended.verdict)
        if ended.times.first_event_s is not None:
            self.pauses.stream_ended(back_end)
        self.verdicts.count_version_outcome(choice, route, ended.verdict, ended.times, ended.took_s)
        if ended.is_first:
            self.verdicts.remove_canary_allowance(back_end.service, ended.verdict)

    def _gossip_send(self, choice: Choice, prompt: Prompt, is_ready: bool) -> None:
        assert choice.scope is not None
        instance = choice.candidate.back_end.instance
        self._outbox.add_send(SendGossip(instance, choice.scope, is_ready, prompt.blocks))
