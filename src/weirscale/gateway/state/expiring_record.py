"""Records that expire with a lease, which measure time across a restart of all nodes.

Nodes have no persistent storage, and all of them may restart at once. Once a record has expired, it
was written longer ago than its lifetime, whichever node wrote it.
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
    """Write a record that expires after `life_s`, and return its lease id; 0 if it is not written.

    The record is not written either if granting the lease takes longer than `within_s`.
    """
    asked_at_s = clock()
    granted = await store.grant_lease(life_s)
    # A lease starts when the call reaches the store. The call may wait for a connection, or the
    # node may be paused or suspended, for longer than a timeout. The record would then stay in
    # the store longer than the age that it represents.
    if isinstance(granted, Err) or clock() > asked_at_s + within_s:
        return 0
    swapped = await store.compare_and_swap(key, 0, value, granted.ok_value)
    if isinstance(swapped, Err) or not swapped.ok_value.succeeded:
        return 0
    return granted.ok_value
