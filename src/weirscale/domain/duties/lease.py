"""The protocol of a fenced lease, which gives a duty at most one effective holder.

The duty's key in the key-value service is attached to the holder's lease, so it is deleted when the
lease ends. The fencing token is the key's create revision, which grows each time the duty is
acquired. Two rules prevent damage by a stale holder:

- The holder counts the lease's duration from before it sent the request that granted or renewed the
  lease. So it stops before the service gives the duty to another node. The holder checks the lease
  at each point of use.
- The holder's messages carry the token, and receivers reject tokens lower than the highest one
  seen. This stops messages that were sent in time but arrive late.

The module does no I/O: `next_operation` returns the call to make to the service, and `after_answer`
handles the answer.
"""

import enum

import msgspec

NEVER_S = float("-inf")


class LeaseRules(msgspec.Struct, frozen=True):
    """Durations of a lease.

    Attributes:
        time_to_live_s: Duration for which the service grants the lease.
        margin_s: Subtracted locally, because clocks may drift by this much in a time to live.
        renew_interval_s: Time between renewals; the lease is lost only after several failures.
        retry_interval_s: Delay after a failed call.
        standby_interval_s: Time between reads of a duty's key while another node holds the duty.
    """

    time_to_live_s: float = 10.0
    margin_s: float = 1.0
    renew_interval_s: float = 2.5
    retry_interval_s: float = 2.0
    standby_interval_s: float = 4.0


class LeasePhase(enum.Enum):
    """Next step of a node for a duty."""

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
    """A node's state of its lease on a duty.

    Attributes:
        phase: Next step.
        lease_id: Id of the node's lease; 0 without a lease.
        valid_until_s: Time on the node's clock until which the lease is certainly valid.
        token: Fencing token; 0 unless the node has acquired the duty.
        not_before_s: Time of the next operation.
        other_holder: Value of the duty's key if another node held it, for the status output.
    """

    phase: LeasePhase = LeasePhase.READ
    lease_id: int = 0
    valid_until_s: float = NEVER_S
    token: int = 0
    not_before_s: float = NEVER_S
    other_holder: bytes = b""

    def is_held(self, now_s: float) -> bool:
        """Return whether the node certainly holds the duty now; call this at each point of use."""
        return self.token != 0 and now_s < self.valid_until_s


class DutyKey(msgspec.Struct, frozen=True):
    """The duty's key as stored in the key-value service.

    Attributes:
        lease_id: The lease to which the key is attached.
        create_revision: Revision at which the duty was acquired.
        holder: Value of the key: the holder's name.
    """

    lease_id: int
    create_revision: int
    holder: bytes


class KeyAnswer(msgspec.Struct, frozen=True):
    """Answer to READ_KEY, and to TAKE_KEY both on success and on failure; None without a key."""

    key: DutyKey | None


class LeaseGranted(msgspec.Struct, frozen=True):
    """Answer to GRANT_LEASE."""

    lease_id: int


class LeaseRenewed(msgspec.Struct, frozen=True):
    """Answer to KEEP_ALIVE."""

    time_to_live_s: float


class LeaseLost(msgspec.Struct, frozen=True):
    """Answer to an operation on a lease that has expired at the service."""


class CallFailed(msgspec.Struct, frozen=True):
    """No answer, or an error; the operation may or may not have taken effect."""

    retry_after_s: float = 0.0


LeaseAnswer = KeyAnswer | LeaseGranted | LeaseRenewed | LeaseLost | CallFailed

_OPERATIONS = {
    LeasePhase.READ: LeaseOperation.READ_KEY,
    LeasePhase.GRANT: LeaseOperation.GRANT_LEASE,
    LeasePhase.TAKE: LeaseOperation.TAKE_KEY,
    LeasePhase.HOLD: LeaseOperation.KEEP_ALIVE,
}


def next_operation(state: LeaseState, now_s: float) -> LeaseOperation | None:
    """Return the operation to call at the service now, or None before `not_before_s`."""
    if now_s < state.not_before_s:
        return None
    return _OPERATIONS[state.phase]


def after_answer(
    state: LeaseState, answer: LeaseAnswer, sent_at_s: float, now_s: float, rules: LeaseRules
) -> LeaseState:
    """Return the state after an answer of the service.

    Args:
        state: State in which the operation was sent.
        answer: The answer; a timeout is `CallFailed`.
        sent_at_s: Time just before the request was sent.
        now_s: Time at which the answer was read.
        rules: Durations of the lease.
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
    """Return the state after releasing a duty; apply it before the call to the service."""
    return LeaseState(not_before_s=now_s + rules.retry_interval_s)


def _after_read(
    state: LeaseState, key: DutyKey | None, sent_at_s: float, now_s: float, rules: LeaseRules
) -> LeaseState:
    """Return the state after the duty's key was read, by a read or an attempt to acquire it."""
    if key is None:
        phase = LeasePhase.TAKE if state.lease_id else LeasePhase.GRANT
        return msgspec.structs.replace(state, phase=phase, token=0)
    if state.lease_id and key.lease_id == state.lease_id:
        # This node holds the key, possibly since an attempt to acquire it whose answer was lost.
        # The key's validity is still that of the lease.
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
    # A holder's lease may still be valid: retry the renewal, and hold the duty until
    # `valid_until_s` only. Any other call may have taken effect, so read the key first.
    phase = state.phase if state.phase is LeasePhase.HOLD else LeasePhase.READ
    return msgspec.structs.replace(state, phase=phase, not_before_s=not_before_s)


def _valid_until_s(time_to_live_s: float, sent_at_s: float, rules: LeaseRules) -> float:
    return sent_at_s + time_to_live_s - rules.margin_s
