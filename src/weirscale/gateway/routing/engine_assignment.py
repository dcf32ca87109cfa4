"""Assigns each engine to one group of nodes, which prefers it.

Gossip about loads is fresh within a group and some tenths of a second old beyond it
(`peers.groups`): meanwhile nodes of several groups would see the same engine idle and send it their
long prompts together. So each group prefers engines of its own, and its nodes know each other's
sends at once. It is only a preference, with the cost `ChoiceRules.other_group_share`.
"""

from collections.abc import Collection, Iterable, Mapping

from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.groups import Division, name_hash
from weirscale.gateway.peers.registrations import PeerDirectory


class EngineAssignment:
    """Keeps the engines that other groups prefer, worked out anew when groups or engines change.

    Args:
        name: This node.
        peers: The groups.
        directory: The back ends.
    """

    def __init__(self, name: str, peers: PeerDirectory, directory: BackEndDirectory) -> None:
        self._name = name
        self._peers = peers
        self._directory = directory
        self._division: Division | None = None
        self._num_changes = -1
        self._of_other_groups: frozenset[InstanceId] = frozenset()

    def of_other_groups(self) -> Collection[InstanceId]:
        """Return the engines that other groups of nodes prefer."""
        division = self._peers.division()
        if division is not self._division or self._directory.num_changes != self._num_changes:
            self._division = division
            self._num_changes = self._directory.num_changes
            engines = [one for one in self._directory.all() if one.models]
            owners = assign_engines(engines, division)
            own_group = division.group_of.get(self._name)
            self._of_other_groups = frozenset(one for one in owners if owners[one] != own_group)
        return self._of_other_groups


def assign_engines(back_ends: Iterable[BackEnd], division: Division) -> dict[InstanceId, str]:
    """Return the group that each engine belongs to; the same on all nodes that know the same.

    Within a zone every group gets about as many as the others, by rendezvous hashing, so that few
    change hands when one comes or goes. A zone without nodes leaves its back ends to all groups.
    """
    if len(division.groups) < 2:
        return {}
    groups = _groups_by_zone(division)
    every_group = sorted(division.groups)
    by_zone: dict[str, list[BackEnd]] = {}
    for back_end in back_ends:
        by_zone.setdefault(back_end.zone, []).append(back_end)
    owners: dict[InstanceId, str] = {}
    for zone, inhabitants in by_zone.items():
        owners.update(_share_out(inhabitants, groups.get(zone, every_group)))
    return owners


def _groups_by_zone(division: Division) -> Mapping[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for name, members in sorted(division.groups.items()):
        groups.setdefault(members[0].zone, []).append(name)
    return groups


def _share_out(back_ends: list[BackEnd], groups: list[str]) -> dict[InstanceId, str]:
    fair = len(back_ends) // len(groups)
    num_owned = dict.fromkeys(groups, 0)
    owners: dict[InstanceId, str] = {}
    for back_end in sorted(back_ends, key=lambda one: name_hash(one.instance)):
        short = [group for group in groups if num_owned[group] < fair]
        free = short or [group for group in groups if num_owned[group] == fair]
        owner = max(free, key=lambda group: _score(group, back_end.instance))
        num_owned[owner] += 1
        owners[back_end.instance] = owner
    return owners


def _score(group: str, instance: InstanceId) -> int:
    return name_hash(f"{group}|{instance}")
