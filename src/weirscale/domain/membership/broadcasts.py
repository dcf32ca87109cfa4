"""Queue of member updates to disseminate, each a bounded number of times."""

from weirscale.messages.membership import MemberState, MemberUpdate

MAX_UPDATE_BYTES_IN_CAST = 1000
"""Room for updates in a cast: MAX_CAST_BYTES less the other fields of a ping."""

FIXED_UPDATE_BYTES = 24
"""Encoded size of an update without its strings, rounded up."""

_Key = tuple[str, str]


class BroadcastQueue:
    """Updates by member; a newer update of a member replaces the older one."""

    def __init__(self) -> None:
        self._num_sent: dict[_Key, int] = {}
        self._updates: dict[_Key, MemberUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def put(self, update: MemberUpdate) -> None:
        """Queue an update; accusations of a member by several nodes are queued separately."""
        if update.state is not MemberState.SUSPECT:
            self._drop_accusations(update)
        key = (update.name, update.accuser)
        self._updates[key] = update
        self._num_sent[key] = 0

    def take(
        self, max_transmissions: int, first: MemberUpdate | None = None
    ) -> tuple[MemberUpdate, ...]:
        """Return the least-sent updates that fit into a cast, and count them as sent once more.

        Args:
            max_transmissions: An update is dropped after it was sent this often.
            first: A record that the cast must contain; it is not counted as sent.
        """
        if not self._updates:
            return () if first is None else (first,)
        room = MAX_UPDATE_BYTES_IN_CAST
        taken: list[MemberUpdate] = []
        if first is not None:
            taken.append(first)
            room -= _size(first)
        for key in sorted(self._updates, key=self._num_sent.__getitem__):
            update = self._updates[key]
            room -= _size(update)
            if room < 0:
                break
            taken.append(update)
            self._count(key, max_transmissions)
        return tuple(taken)

    def _count(self, key: _Key, max_transmissions: int) -> None:
        self._num_sent[key] += 1
        if self._num_sent[key] >= max_transmissions:
            del self._num_sent[key]
            del self._updates[key]

    def _drop_accusations(self, update: MemberUpdate) -> None:
        for key in [key for key in self._updates if key[0] == update.name]:
            del self._num_sent[key]
            del self._updates[key]


def split_for_casts(updates: list[MemberUpdate]) -> list[tuple[MemberUpdate, ...]]:
    """Split updates into groups that each fit into a cast."""
    groups: list[tuple[MemberUpdate, ...]] = []
    group: list[MemberUpdate] = []
    room = MAX_UPDATE_BYTES_IN_CAST
    for update in updates:
        room -= _size(update)
        if room < 0 and group:
            groups.append(tuple(group))
            group = []
            room = MAX_UPDATE_BYTES_IN_CAST - _size(update)
        group.append(update)
    if group:
        groups.append(tuple(group))
    return groups


def _size(update: MemberUpdate) -> int:
    strings = len(update.name) + len(update.host) + len(update.zone) + len(update.accuser)
    return FIXED_UPDATE_BYTES + strings
