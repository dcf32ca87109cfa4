"""What the platform's lagging machine list adds: hints, never the truth alone."""

from collections.abc import Iterable, Mapping

from weirscale.domain.identifiers import NodeName
from weirscale.messages.membership import MemberUpdate


class MachineHints:
    """Last list read: which machines are leaving, and which members it no longer names."""

    def __init__(self) -> None:
        self.version = 0
        """Grows with each change of what `is_leaving` answers."""
        self._leaving: frozenset[str] = frozenset()
        self._absent: set[NodeName] = set()

    def update_list(
        self, is_leaving_by_host: Mapping[str, bool], members: Iterable[MemberUpdate]
    ) -> list[NodeName]:
        """Take a new list.

        Args:
            is_leaving_by_host: Machines by host or host:port.
            members: Live members.

        Returns:
            Members newly absent from the list, to be probed soon; none for an empty list.
        """
        leaving = frozenset(host for host, is_leaving in is_leaving_by_host.items() if is_leaving)
        if leaving != self._leaving:
            self._leaving = leaving
            self.version += 1
        if not is_leaving_by_host:
            return []
        absent = {
            member.name
            for member in members
            if not any(host in is_leaving_by_host for host in _names_of(member))
        }
        newly_absent = sorted(absent - self._absent)
        self._absent = absent
        return newly_absent

    def is_leaving(self, member: MemberUpdate) -> bool:
        """Whether the list says that the member's machine is about to go."""
        return bool(self._leaving) and any(name in self._leaving for name in _names_of(member))


def _names_of(member: MemberUpdate) -> tuple[str, str]:
    return (member.host, f"{member.host}:{member.port}")
