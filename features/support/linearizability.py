"""Checks whether a history of concurrent operations on one object is linearizable.

The search is that of Wing and Gong, with Lowe's set of configurations already tried: take any
operation that no other operation precedes, apply it to the model, and backtrack when that fails.
"""

from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

import msgspec

ActionT = TypeVar("ActionT")
StateT = TypeVar("StateT", bound=Hashable)

Step = Callable[[StateT, ActionT], StateT | None]
"""Applies an action to the model: returns the next state, None if the observation is impossible."""


class Operation(msgspec.Struct, Generic[ActionT], frozen=True):
    """One operation as its client observed it.

    Attributes:
        action: The request and the observed answer, in the form that the model's step reads.
        invoked_at: When it was sent, by any clock that all clients share.
        returned_at: When its answer arrived, None if it never did: the operation may then have
            taken effect at any time after `invoked_at`, or never.
    """

    action: ActionT
    invoked_at: float
    returned_at: float | None


def find_linearization(
    history: Sequence[Operation[ActionT]], initial: StateT, step: Step[StateT, ActionT]
) -> list[Operation[ActionT]] | None:
    """Return an order of the operations that explains the history, or None if there is none.

    Args:
        history: The operations in any order.
        initial: State of the object at the start.
        step: The sequential model.
    """
    search = _Search(history, step)
    return search.run(initial)


class _Search(Generic[StateT, ActionT]):
    """Depth-first search with its own stack; sets of operations are bit masks."""

    def __init__(self, history: Sequence[Operation[ActionT]], step: Step[StateT, ActionT]) -> None:
        self._history = sorted(history, key=lambda operation: operation.invoked_at)
        self._step = step
        self._answered = sum(
            1 << index
            for index, operation in enumerate(self._history)
            if operation.returned_at is not None
        )

    def run(self, initial: StateT) -> list[Operation[ActionT]] | None:
        """Search from the initial state."""
        tried: set[tuple[int, StateT]] = set()
        stack: list[tuple[int, StateT, tuple[int, ...]]] = [(0, initial, ())]
        while stack:
            done, state, order = stack.pop()
            if done & self._answered == self._answered:
                return [self._history[index] for index in order]
            if (done, state) in tried:
                continue
            tried.add((done, state))
            for index in reversed(self._candidates(done)):
                next_state = self._step(state, self._history[index].action)
                if next_state is not None:
                    stack.append((done | 1 << index, next_state, (*order, index)))
        return None

    def _candidates(self, done: int) -> list[int]:
        """Return the remaining operations that started before any remaining operation returned."""
        remaining = [index for index in range(len(self._history)) if not done >> index & 1]
        returns = [self._history[index].returned_at for index in remaining]
        first_return = min((at for at in returns if at is not None), default=float("inf"))
        return [index for index in remaining if self._history[index].invoked_at <= first_return]
