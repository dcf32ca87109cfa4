"""Breadth-first exploration of a state machine, with the history that leads to a violation."""

from collections import deque


def explore(start, steps, is_violated):
    """Visit every reachable state until a state violates the property.

    `steps` yields pairs of a step's name and the state that follows. Return the shortest history
    (list of step names) to a violating state, or None, and the number of states seen.
    """
    parents = {start: None}
    frontier = deque([start])
    while frontier:
        state = frontier.popleft()
        if is_violated(state):
            return _history(parents, state), len(parents)
        for step, next_state in steps(state):
            if next_state not in parents:
                parents[next_state] = (state, step)
                frontier.append(next_state)
    return None, len(parents)


def _history(parents, state):
    history = []
    while parents[state] is not None:
        state, step = parents[state]
        history.append(step)
    return history[::-1]
