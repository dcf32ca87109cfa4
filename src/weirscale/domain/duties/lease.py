"""The protocol of a fenced lease: at most one effective holder of a duty.

The duty's key in the key-value service hangs on the holder's lease, so it vanishes with it. The
fencing token is the key's create revision, which grows each time the duty is taken. Two rules
keep a stale holder harmless:

- The holder counts its lease from before the request that granted or renewed it was sent, so it
  stops before the service gives the duty to another one. It checks this at each point of use.
- What it sends carries the token, and the receiver refuses a token lower than the highest seen.
  That stops what was sent in time and arrives late.

Pure: `next_operation` says what to ask the service, `after_answer` takes the answer.
"""

import enum

import msgspec

NEVER_S = float("-inf")


class LeaseRules(msgspec.Struct, frozen=True):
    """Durations of a lease.

    Attributes:
        time_to_live_s: What the service grants.
        margin_s: Taken off locally: clocks may run apart by this much in a time to live.
        renew_interval_s: Time between renewals; several must fail before the lease is lost.
        retry_interval_s: Wait after failed calls.
        standby_interval_s: Time between looks at a duty that another node holds.
    """

    time_to_live_s: float = 10.0
    margin_s: float = 1.0
    renew_interval_s: float = 2.5
    retry_interval_s: float = 2.0
    standby_interval_s: float = 4.0


class LeasePhase(enum.Enum):
    """What the node does next about a duty."""

    READ = "read"
    GRANT = "grant"
    TAKE = "take"
    HOLD = "hold"


class LeaseOperation(enum.Enum):
    """A call to the key-value service."""

    READ_KEY = "read_key"
    GRANT_LEASE = "grant_lease"
    TAKE_KEY = "take_key"
    KEEP_ALIVE = "keep_alive"


class LeaseState(msgspec.Struct, frozen=True):
    """What a node knows of its own lease on a duty.

    Attributes:
        phase: What comes next.
        lease_id: Its lease, 0 without one.
        valid_until_s: Until when the lease certainly lives, on the node's own clock.
        token: Fencing token, 0 unless the duty was taken.
        not_before_s: No operation before this time.
        other_holder: Value of the duty's key when another node held it, for status.
    """

    phase: LeasePhase = LeasePhase.READ
    lease_id: int = 0
    valid_until_s: float = NEVER_S
    token: int = 0
    not_before_s: float = NEVER_S
    other_holder: bytes = b""

    def is_held(self, now_s: float) -> bool:
        """Whether the node certainly holds the duty now; ask at each point of use."""
        return self.token != 0 and now_s < self.valid_until_s


class DutyKey(msgspec.Struct, frozen=True):
    """The duty's key as it stands in the service.

    Attributes:
        lease_id: The lease that it hangs on.
        create_revision: Revision at which the duty was taken.
        holder: Its value, the holder's name.
    """

    lease_id: int
    create_revision: int
    holder: bytes


class KeyAnswer(msgspec.Struct, frozen=True):
    """Answers READ_KEY, and TAKE_KEY whether it succeeded or not; None when there is no key."""

    key: DutyKey | None


class LeaseGranted(msgspec.Struct, frozen=True):
    """Answers GRANT_LEASE."""

    lease_id: int


class LeaseRenewed(msgspec.Struct, frozen=True):
    """Answers KEEP_ALIVE."""

    time_to_live_s: float


class LeaseLost(msgspec.Struct, frozen=True):
    """The lease has expired at the service."""


class CallFailed(msgspec.Struct, frozen=True):
    """No answer, or a refusal: what was asked may have happened or not."""

    retry_after_s: float = 0.0


LeaseAnswer = KeyAnswer | LeaseGranted | LeaseRenewed | LeaseLost | CallFailed

_OPERATIONS = {
    LeasePhase.READ: LeaseOperation.READ_KEY,
    LeasePhase.GRANT: LeaseOperation.GRANT_LEASE,
    LeasePhase.TAKE: LeaseOperation.TAKE_KEY,
    LeasePhase.HOLD: LeaseOperation.KEEP_ALIVE,
}


def next_operation(state: LeaseState, now_s: float) -> LeaseOperation | None:
    """Return what to ask the service now, None before `not_before_s`."""
    if now_s < state.not_before_s:
        return None
    return _OPERATIONS[state.phase]


def after_answer(
    state: LeaseState, answer: LeaseAnswer, sent_at_s: float, now_s: float, rules: LeaseRules
) -> LeaseState:
    """Take the service's answer.

    Args:
        state: State in which the operation was sent.
        answer: The answer; a time-out is `CallFailed`.
        sent_at_s: Just before the request was sent.
        now_s: When the answer was read.
        rules: Durations.
    """
    if isinstance(answer, KeyAnswer):
        return _after_read(state, answer.key, sent_at_s, now_s, rules)
    if isinstance(answer, LeaseGranted):
        return LeaseState(
            phase=LeasePhase.TAKE,
            lease_id=answer.lease_id,
            valid_until_s=_valid_until_s(rules.time_to_live_s, sent_at_s, rules),
        )
    if isinstance(answer, LeaseRenewed):
        return msgspec.structs.replace(
            state,
            valid_until_s=_valid_until_s(answer.time_to_live_s, sent_at_s, rules),
            not_before_s=sent_at_s + rules.renew_interval_s,
        )
    if isinstance(answer, LeaseLost):
        return LeaseState()
    return _after_failure(state, answer, now_s, rules)


def after_release(now_s: float, rules: LeaseRules) -> LeaseState:
    """State after giving a duty up: drop it before the service is told."""
    return LeaseState(not_before_s=now_s + rules.retry_interval_s)


def _after_read(
    state: LeaseState, key: DutyKey | None, sent_at_s: float, now_s: float, rules: LeaseRules
) -> LeaseState:
    """The duty's key was read, alone or with the answer to an attempt to take it."""
    if key is None:
        phase = LeasePhase.TAKE if state.lease_id else LeasePhase.GRANT
        return msgspec.structs.replace(state, phase=phase, token=0)
    if state.lease_id and key.lease_id == state.lease_id:
        # Ours, also when the answer to the taking was lost. Validity stays that of the lease.
        return msgspec.structs.replace(
            state,
            phase=LeasePhase.HOLD,
            token=key.create_revision,
            not_before_s=sent_at_s + rules.renew_interval_s,
        )
    return LeaseState(not_before_s=now_s + rules.standby_interval_s, other_holder=key.holder)


def _after_failure(
    state: LeaseState, failure: CallFailed, now_s: float, rules: LeaseRules
) -> LeaseState:
    not_before_s = now_s + max(rules.retry_interval_s, failure.retry_after_s)
    # A holder's lease may live on: renew it later, and hold the duty until `valid_until_s` only.
    # Any other call may have taken effect: reading tells.
    phase = state.phase if state.phase is LeasePhase.HOLD else LeasePhase.READ
    return msgspec.structs.replace(state, phase=phase, not_before_s=not_before_s)


def _valid_until_s(time_to_live_s: float, sent_at_s: float, rules: LeaseRules) -> float:
    return sent_at_s + time_to_live_s - rules.margin_s
