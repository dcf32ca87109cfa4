"""Exhaustive exploration of the lease protocol: two nodes, one duty, one receiver of orders.

The exploration covers all interleavings, without a bound on time or on the number of faults.
Requests are applied, delayed past their timeout or lost. Answers are lost or late. Nodes pause at
any point: they take no step while time passes. An order arrives late. The state space is finite
because a state is kept relative to the present: times count from now, all past times are equal, and
lease ids and revisions are replaced by ranks. The nodes run the product's own `next_operation` and
`after_answer`.

The first node's orders may be in flight; the second node's orders arrive at once. This suffices,
because a stale order is stale in relation to one later order.
"""

from collections import deque
from typing import NamedTuple

from msgspec.structs import replace

from features.support.token_fence import TokenFence
from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.duties.lease import (
    NEVER_S,
    CallFailed,
    DutyKey,
    KeyAnswer,
    LeaseGranted,
    LeaseLost,
    LeaseOperation,
    LeasePhase,
    LeaseRenewed,
    LeaseRules,
    LeaseState,
    after_answer,
    next_operation,
)

TIME_TO_LIVE = 2
RULES = LeaseRules(
    time_to_live_s=TIME_TO_LIVE,
    margin_s=0,
    renew_interval_s=1,
    retry_interval_s=1,
    standby_interval_s=1,
)
NODES = (0, 1)
DUTY = Duty(DutyKind.PLACEMENT_PLANNER)


MUTATING = (LeaseOperation.TAKE_KEY, LeaseOperation.KEEP_ALIVE)
"""Operations whose late arrival matters. A late grant only creates a lease without a user."""


class Store(NamedTuple):
    revision: int = 1
    next_lease_id: int = 1
    leases: tuple = ()  # pairs of lease id and time left
    key: DutyKey | None = None


class Call(NamedTuple):
    operation: LeaseOperation
    lease_id: int
    sent_at: int = 0  # zero or less
    answer: object = None


class SystemState(NamedTuple):
    store: Store = Store()
    states: tuple = (LeaseState(), LeaseState())
    calls: tuple = (None, None)
    late_calls: tuple = (None, None)
    order: int = 0  # token of the first node's order in flight
    highest_token: int = 0  # of the second node's orders


class PropertyViolated(Exception):
    """A property of the lease protocol does not hold."""


class LeaseModel:
    """The lease protocol as implemented, or with one rule disabled (`broken_rule`)."""

    def __init__(
        self, broken_rule=None, nodes_with_late_calls=NODES, has_orders=True, lossy_nodes=NODES
    ):
        self.broken_rule = broken_rule
        self.nodes_with_late_calls = nodes_with_late_calls
        self.has_orders = has_orders
        self.lossy_nodes = lossy_nodes
        self.num_held = self.num_handed_over = self.num_refused = 0

    def explore(self):
        """Visit every reachable state and return their number, or raise `PropertyViolated`."""
        start = canonical(SystemState())
        seen = {start}
        queue = deque([start])
        while queue:
            system = queue.popleft()
            for successor in map(canonical, self.successors(system)):
                if successor not in seen:
                    self.check(successor)
                    seen.add(successor)
                    queue.append(successor)
        return len(seen)

    def check(self, system):
        for node in NODES:
            if not system.states[node].is_held(0):
                continue
            self.num_held += 1
            key = system.store.key
            if key is None or key.holder != holder_name(node):
                raise PropertyViolated("a node acts as holder of a duty that it does not hold")
        first, second = (state.token for state in system.states)
        self.num_handed_over += bool(first and second)
        if first and first == second:
            raise PropertyViolated("two nodes have the same token")

    def successors(self, system):
        yield after_one_second(system)
        for node in NODES:
            yield from self.call_steps(system, node)
            if system.late_calls[node] is not None:
                store, _ = apply(system.store, system.late_calls[node], node)
                yield system._replace(
                    store=store, late_calls=replace_item(system.late_calls, node, None)
                )
        if self.has_orders:
            yield from self.order_steps(system)

    def call_steps(self, system, node):
        state, call = system.states[node], system.calls[node]
        if call is None:
            operation = next_operation(state, 0)
            if operation is not None:
                call = Call(operation, state.lease_id)
                if operation is LeaseOperation.READ_KEY:
                    # A read changes nothing, so sending and applying it are one step.
                    call = call._replace(answer=KeyAnswer(system.store.key))
                yield system._replace(calls=replace_item(system.calls, node, call))
            return
        if call.answer is not None:
            yield self.after_call(system, node, call.answer)
            if call.operation is LeaseOperation.READ_KEY and node in self.lossy_nodes:
                yield self.after_call(system, node, CallFailed())
            return
        store, answer = apply(system.store, call, node)
        applied = system._replace(store=store)
        yield applied._replace(calls=replace_item(system.calls, node, call._replace(answer=answer)))
        if node not in self.lossy_nodes:
            return
        yield self.after_call(applied, node, CallFailed())
        if call.operation in MUTATING and node in self.nodes_with_late_calls:
            late = call._replace(sent_at=0)
            system = system._replace(late_calls=replace_item(system.late_calls, node, late))
        yield self.after_call(system, node, CallFailed())

    def may_act(self, state):
        if self.broken_rule == "no check before an order is sent":
            return state.token != 0
        return state.is_held(0)

    def order_steps(self, system):
        sender, other = system.states
        if system.order == 0 and self.may_act(sender):
            self.check_sender(system, 0)
            yield system._replace(order=sender.token)
        if system.order:
            yield self.receive_late_order(system._replace(order=0), system.order)
        if self.may_act(other):
            self.check_sender(system, 1)
            yield system._replace(highest_token=other.token)

    def check_sender(self, system, node):
        key = system.store.key
        if key is None or key.holder != holder_name(node):
            raise PropertyViolated("an order is sent by a node that does not hold the duty")

    def receive_late_order(self, system, token):
        is_admitted = fence_with_token(system.highest_token).admit(DUTY, token)
        if self.broken_rule == "the receiver does not fence":
            is_admitted = True
        if is_admitted and token < system.highest_token:
            raise PropertyViolated("an order of an earlier holder takes effect after a later one's")
        self.num_refused += not is_admitted
        return system

    def after_call(self, system, node, answer):
        state, call = system.states[node], system.calls[node]
        sent_at = call.sent_at
        if self.broken_rule == "validity counts from the answer":
            sent_at = 0
        next_state = after_answer(state, answer, sent_at, 0, RULES)
        if self.broken_rule == "the token never changes" and next_state.token:
            next_state = replace(next_state, token=1)
        is_take_answer_lost = call.operation is LeaseOperation.TAKE_KEY and answer == CallFailed()
        if self.broken_rule == "a lost answer counts as success" and is_take_answer_lost:
            next_state = replace(state, phase=LeasePhase.HOLD, token=system.store.revision + 1)
        if self.broken_rule == "a lost lease is not dropped" and answer == LeaseLost():
            next_state = after_answer(state, LeaseRenewed(TIME_TO_LIVE), sent_at, 0, RULES)
        return system._replace(
            states=replace_item(system.states, node, next_state),
            calls=replace_item(system.calls, node, None),
        )


def after_one_second(system):
    """Return the state one second later: all times relative to now decrease by one."""
    store = system.store
    leases = tuple((lease_id, left - 1) for lease_id, left in store.leases if left > 1)
    if store.key is not None and store.key.lease_id not in dict(leases):
        store = store._replace(key=None)
    states = tuple(
        replace(
            state,
            not_before_s=state.not_before_s - 1,
            valid_until_s=state.valid_until_s - 1,
        )
        for state in system.states
    )
    calls = tuple(
        call and call._replace(sent_at=max(call.sent_at - 1, -TIME_TO_LIVE))
        for call in system.calls
    )
    return system._replace(store=store._replace(leases=leases), states=states, calls=calls)


def canonical(system):
    """Replace lease ids and revisions by ranks, and make all past times equal."""
    store = system.store
    first, second = system.states
    lease_ids = {0, first.lease_id, second.lease_id}
    revisions = {0, first.token, second.token, system.order, system.highest_token}
    keys = [store.key]
    for call in system.calls + system.late_calls:
        if call is not None:
            lease_ids.add(call.lease_id)
            if isinstance(call.answer, KeyAnswer):
                keys.append(call.answer.key)
            elif isinstance(call.answer, LeaseGranted):
                lease_ids.add(call.answer.lease_id)
    for key in keys:
        if key is not None:
            lease_ids.add(key.lease_id)
            revisions.add(key.create_revision)
    leases, tokens = Ranks(lease_ids), Ranks(revisions)
    if leases.are_identical and tokens.are_identical:
        known_leases = tuple(lease for lease in store.leases if lease[0] in leases)
        store = Store(tokens.highest, leases.highest + 1, known_leases, store.key)
        return system._replace(store=store, states=(without_past(first), without_past(second)))

    def renamed_key(key):
        if key is None:
            return None
        return DutyKey(leases.of(key.lease_id), tokens.of(key.create_revision), key.holder)

    def renamed_call(call):
        if call is None:
            return None
        answer = call.answer
        if isinstance(answer, KeyAnswer):
            answer = KeyAnswer(renamed_key(answer.key))
        if isinstance(answer, LeaseGranted):
            answer = LeaseGranted(leases.of(answer.lease_id))
        return call._replace(lease_id=leases.of(call.lease_id), answer=answer)

    def renamed_state(state):
        renamed = replace(state, lease_id=leases.of(state.lease_id), token=tokens.of(state.token))
        return without_past(renamed)

    known_leases = tuple(
        (leases.of(lease_id), left) for lease_id, left in store.leases if lease_id in leases
    )
    return SystemState(
        store=Store(tokens.highest, leases.highest + 1, known_leases, renamed_key(store.key)),
        states=tuple(map(renamed_state, system.states)),
        calls=tuple(map(renamed_call, system.calls)),
        late_calls=tuple(map(renamed_call, system.late_calls)),
        order=tokens.of(system.order),
        highest_token=tokens.of(system.highest_token),
    )


def without_past(state):
    """Make all past times equal, and drop `other_holder`, which only status output uses."""
    is_past = NEVER_S < state.valid_until_s <= 0 or NEVER_S < state.not_before_s <= 0
    if not is_past and not state.other_holder:
        return state
    return replace(
        state,
        valid_until_s=state.valid_until_s if state.valid_until_s > 0 else NEVER_S,
        not_before_s=state.not_before_s if state.not_before_s > 0 else NEVER_S,
        other_holder=b"",
    )


class Ranks:
    """Map the numbers in use to ranks 1, 2, ... in ascending order; 0 stands for none."""

    def __init__(self, numbers):
        self.highest = len(numbers) - 1
        self.are_identical = max(numbers) == self.highest
        self._ranks = {number: rank for rank, number in enumerate(sorted(numbers))}

    def __contains__(self, number):
        return number in self._ranks

    def of(self, number):
        return self._ranks[number]


def replace_item(pair, index, value):
    return (value, pair[1]) if index == 0 else (pair[0], value)


def fence_with_token(token):
    fence = TokenFence()
    fence.admit(DUTY, token)
    return fence


def holder_name(node):
    return bytes((node,))


def apply(store, call, node):
    """Return the store after a call, and the answer, as the key-value service would."""
    leases = dict(store.leases)
    if call.operation is LeaseOperation.GRANT_LEASE:
        lease_id = store.next_lease_id
        leases[lease_id] = TIME_TO_LIVE
        granted = store._replace(leases=tuple(leases.items()), next_lease_id=lease_id + 1)
        return granted, LeaseGranted(lease_id)
    if call.lease_id not in leases:
        return store, LeaseLost()
    if call.operation is LeaseOperation.KEEP_ALIVE:
        leases[call.lease_id] = TIME_TO_LIVE
        return store._replace(leases=tuple(leases.items())), LeaseRenewed(TIME_TO_LIVE)
    if store.key is not None:
        return store, KeyAnswer(store.key)
    revision = store.revision + 1
    key = DutyKey(call.lease_id, revision, holder_name(node))
    return store._replace(key=key, revision=revision), KeyAnswer(key)
