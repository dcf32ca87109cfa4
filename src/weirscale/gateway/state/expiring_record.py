"""Records that expire with a lease: a clock that survives the restart of all nodes.

Nodes keep nothing and all may restart at once. A record that has expired was written longer ago
than its life, whichever node wrote it.
"""

from collections.abc import Callable

from result import Err

from weirscale.ports.key_value import KeyValuePort


async def write_expiring_record(
    store: KeyValuePort,
    key: str,
    value: bytes,
    life_s: float,
    within_s: float,
    clock: Callable[[], float],
) -> int:
    """Write a record that vanishes after `life_s`; returns its lease, 0 if it was not written.

    It is not written either if the lease was granted later than `within_s` from now.
    """
    asked_at_s = clock()
    granted = await store.grant_lease(life_s)
    # A lease runs from the call's arrival at the store. The call may wait for a connection, or its
    # node may be paused or be suspended, for longer than a timeout: the record would then be in
    # the store longer than the age that it stands for.
    if isinstance(granted, Err) or clock() > asked_at_s + within_s:
        return 0
    swapped = await store.compare_and_swap(key, 0, value, granted.ok_value)
    if isinstance(swapped, Err) or not swapped.ok_value.succeeded:
        return 0
    return granted.ok_value
