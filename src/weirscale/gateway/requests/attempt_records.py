"""What is recorded of attempts: loads, beliefs about caches, learnt times, and gossip of sends."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.messages import SendGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.requests.attempt_verdict import Verdict
from weirscale.gateway.requests.back_end_verdicts import BackEndVerdicts
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.load import FleetLoad

LONG_READ_TOKENS = 2_000
"""A prompt of which an engine reads this many tokens, some 50 ms, is gossiped within the group at
once: two such prompts at one engine make every stream there pause. Single plays with this and a
change of quotas gave 0.576 -> 0.632 of worth; the figure alone is not measured."""


class EndedAttempt(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Attributes:
        verdict: What its end proves.
        times: Its first event and parts.
        took_s: Its duration.
        is_first: Whether it was the request's first one.
    """

    verdict: Verdict
    times: AttemptTimes
    took_s: float
    is_first: bool


class AttemptRecords:
    """Records the attempts of a node.

    Args:
        dispatcher: Beliefs about caches and learnt times.
        load: Work at back ends.
        budget: Retry budget, which grows with requests sent.
        outbox: Gossip.
        send_gossip_now: Has gossip sent without waiting for the next regular message.
        pauses: Pauses of streams.
        verdicts: Judges back ends.
        clock: Monotonic seconds.
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
        """Tokens that are still to be read, by the identity of the attempt's choice."""

    def record_start(self, choice: Choice, prompt: Prompt | None, is_unreached: bool) -> None:
        """Record that an attempt begins.

        Args:
            choice: The back end and what is expected of it.
            prompt: The prompt, for generations.
            is_unreached: Whether no attempt at the request has reached a back end yet.
        """
        back_end = choice.candidate.back_end
        held = prompt.num_tokens if prompt else 0
        self._load.request_sent(back_end.instance, choice.unread_tokens, held)
        self._unread_tokens[id(choice)] = choice.unread_tokens
        if is_unreached:
            self._budget.record_request(back_end.service, self._clock())
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_sent(choice, prompt)
            self._gossip_send(choice, prompt, is_ready=False)
        if choice.unread_tokens >= LONG_READ_TOKENS:
            self._send_gossip_now()

    def record_first_event(self, choice: Choice, prompt: Prompt | None, took_s: float) -> None:
        """Record that the first event of an attempt arrived: its prompt has been read."""
        self.pauses.stream_began(choice.candidate.back_end)
        self.dispatcher.wait_ended(choice)
        self.dispatcher.first_event_received(choice, took_s)
        instance = choice.candidate.back_end.instance
        self._load.first_event_received(instance, self._unread_tokens.pop(id(choice), 0))
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_read(choice, prompt)
            self._gossip_send(choice, prompt, is_ready=True)

    def reads_for_others(self, choice: Choice, since_s: float) -> bool:
        """Whether an attempt's engine has worked since a time and has others' prompts to read."""
        own_tokens = self._unread_tokens.get(id(choice), 0)
        return self.dispatcher.is_busy_with_others(choice, own_tokens, since_s)

    def record_end(
        self, choice: Choice, prompt: Prompt | None, route: Route, ended: EndedAttempt
    ) -> None:
        """Record that an attempt has ended, and judge its back end."""
        self.dispatcher.wait_ended(choice)
        back_end = choice.candidate.back_end
        was_unread = id(choice) in self._unread_tokens
        self._load.first_event_received(back_end.instance, self._unread_tokens.pop(id(choice), 0))
        self._load.request_ended(back_end.instance, prompt.num_tokens if prompt else 0)
        if was_unread and prompt is not None:
            self.dispatcher.prompt_not_read(choice, prompt)
        self.verdicts.judge_health(back_end.instance, ended.verdict)
        if ended.times.first_event_s is not None:
            self.pauses.stream_ended(back_end)
        self.verdicts.judge_version(choice, route, ended.verdict, ended.times, ended.took_s)
        if ended.is_first:
            self.verdicts.take_back_canary_share(back_end.service, ended.verdict)

    def _gossip_send(self, choice: Choice, prompt: Prompt, is_ready: bool) -> None:
        assert choice.scope is not None
        instance = choice.candidate.back_end.instance
        self._outbox.add_send(SendGossip(instance, choice.scope, is_ready, prompt.blocks))
