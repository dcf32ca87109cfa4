"""Assigns each engine to one group of nodes, which prefers it.

Gossip about loads is fresh within a group, but some tenths of a second old between groups
(`peers.groups`). In that time, nodes of several groups would see the same engine as idle, and send
it their long prompts together. So each group prefers its own engines, and its nodes learn of each
other's sends at once. This is only a preference, with the cost `ChoiceRules.other_group_share`.
"""

from collections.abc import Collection, Iterable, Mapping

from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.groups import Division, name_hash
from weirscale.gateway.peers.registrations import PeerDirectory


class EngineAssignment:
    """Caches the engines that other groups prefer, until the groups or the engines change.

    Args:
        name: Name of this node.
        peers: Nodes and their groups.
        directory: Back ends.
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
            engines = [back_end for back_end in self._directory.all() if back_end.models]
            owners = assign_engines(engines, division)
            own_group = division.group_of.get(self._name)
            self._of_other_groups = frozenset(
                instance for instance in owners if owners[instance] != own_group
            )
        return self._of_other_groups


def assign_engines(back_ends: Iterable[BackEnd], division: Division) -> dict[InstanceId, str]:
    """Return the group that each engine is assigned to.

    Nodes with the same back ends and groups get the same result. Within a zone, rendezvous hashing
    gives every group about the same number of engines, so that few engines move when one is added
    or removed. Engines in a zone without nodes are divided among all groups.
    """
    if len(division.groups) < 2:
        return {}
    groups = _groups_by_zone(division)
    every_group = sorted(division.groups)
    by_zone: dict[str, list[BackEnd]] = {}
    for back_end in back_ends:
        by_zone.setdefault(back_end.zone, []).append(back_end)
    owners: dict[InstanceId, str] = {}
    for zone, zone_back_ends in by_zone.items():
        owners.update(_assign_in_zone(zone_back_ends, groups.get(zone, every_group)))
    return owners


def _groups_by_zone(division: Division) -> Mapping[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for name, members in sorted(division.groups.items()):
        groups.setdefault(members[0].zone, []).append(name)
    return groups


def _assign_in_zone(back_ends: list[BackEnd], groups: list[str]) -> dict[InstanceId, str]:
    fair_share = len(back_ends) // len(groups)
    num_owned = dict.fromkeys(groups, 0)
    owners: dict[InstanceId, str] = {}
    for back_end in sorted(back_ends, key=lambda engine: name_hash(engine.instance)):
        below_share = [group for group in groups if num_owned[group] < fair_share]
        eligible = below_share or [group for group in groups if num_owned[group] == fair_share]
        owner = max(eligible, key=lambda group: _score(group, back_end.instance))
        num_owned[owner] += 1
        owners[back_end.instance] = owner
    return owners


def _score(group: str, instance: InstanceId) -> int:
    return name_hash(f"{group}|{instance}")
