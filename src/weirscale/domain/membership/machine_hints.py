"""Hints from the platform's machine list, which lags and is therefore never decisive alone."""

from collections.abc import Iterable, Mapping

from weirscale.domain.identifiers import NodeName
from weirscale.messages.membership import MemberUpdate


class MachineHints:
    """The latest machine list: which machines are leaving, and which members are not listed."""

    def __init__(self) -> None:
        self.version = 0
        """Increases when results of `is_leaving` may have changed."""
        self._leaving: frozenset[str] = frozenset()
        self._absent: set[NodeName] = set()

    def update_list(
        self, is_leaving_by_host: Mapping[str, bool], members: Iterable[MemberUpdate]
    ) -> list[NodeName]:
        """Replace the list.

        Args:
            is_leaving_by_host: Whether each machine is leaving, by host or host:port.
            members: Live members.

        Returns:
            Members that are newly absent from the list and should be probed soon; none if the list
            is empty.
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
            if not any(host in is_leaving_by_host for host in _list_keys(member))
        }
        newly_absent = sorted(absent - self._absent)
        self._absent = absent
        return newly_absent

    def is_leaving(self, member: MemberUpdate) -> bool:
        """Return whether the member's machine is listed as leaving."""
        return bool(self._leaving) and any(name in self._leaving for name in _list_keys(member))


def _list_keys(member: MemberUpdate) -> tuple[str, str]:
    return (member.host, f"{member.host}:{member.port}")
