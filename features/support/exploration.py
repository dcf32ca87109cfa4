"""Breadth-first exploration of a small world, with the history that leads to a violation."""

from collections import deque


def explore(start, steps, is_violated):
    """Visit every reachable world until one is violated.

    `steps` yields pairs of a step's name and the world that follows. Returns the shortest history
    (list of step names) to a violated world, or None, and the number of worlds seen.
    """
    parents = {start: None}
    frontier = deque([start])
    while frontier:
        world = frontier.popleft()
        if is_violated(world):
            return _history(parents, world), len(parents)
        for step, following in steps(world):
            if following not in parents:
                parents[following] = (world, step)
                frontier.append(following)
    return None, len(parents)


def _history(parents, world):
    history = []
    while parents[world] is not None:
        world, step = parents[world]
        history.append(step)
    return history[::-1]
