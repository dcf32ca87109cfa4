"""Maintains the back-end directory from registrations, answers and store outages."""

import enum
from collections.abc import Callable, Collection

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import (
    ACCEPTING_STATES,
    BackEnd,
    BackEndDirectory,
    BackEndState,
    LeavingSource,
)
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId
from weirscale.gateway.model.store_positions import era_of
from weirscale.gateway.state.address_claims import AddressClaims, Claim, ClaimStatus
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.lapsed_back_ends import LAPSED_RETENTION_S, LapsedBackEnds
from weirscale.gateway.state.leaving_runs import LeavingRuns
from weirscale.gateway.state.service_versions import ServiceVersions
from weirscale.gateway.state.store_outages import StoreOutageDetector
from weirscale.ports.event_log import EventLog


class OwnerProof(enum.Enum):
    """The evidence that decided which run owns an address, for the log."""

    REGISTRATION = "registration"
    """A registration was added or changed."""
    END = "end"
    """A registration ended."""
    OTHER_RUN = "other_run"
    """Another run answered a request or an order of this node at the address."""
    PEER = "peer"
    """Another run answered another node at the address."""
    ANSWER = "answer"
    """A run answered."""
    CRASH = "crash"
    """A run was seen to crash."""


class BackEndRegistry:
    """Maintains the directory of back ends from their registrations in the store.

    Registrations and back ends in use are separate. Each registration is stored from when it is
    first seen until it ends; the directory lists, for each address, the one run that owns it
    (`address_claims.py`). When the owner is removed, the next registered run replaces it
    immediately, because a live back end does not register again when another one ends.

    A registration that ends just after a store outage may only have lapsed because of the outage.
    Its back end is used a little longer, unless it had announced that it is leaving.

    Back ends also announce in their answers that they are leaving; while the store is unavailable,
    only there. Such an announcement overrides every registration of the same run, because a
    registration with the state `READY` was then written or read late. Only the next run of the back
    end receives new requests.

    Args:
        directory: The back ends in use; the registry is its only writer.
        engine_versions: Weight versions of the engines.
        store_outages: Detects when the store was unavailable to all nodes.
        event_log: Receives an event for each change of a back end.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        directory: BackEndDirectory,
        engine_versions: EngineVersions,
        store_outages: StoreOutageDetector,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._engine_versions = engine_versions
        self._event_log = event_log
        self._clock = clock
        self._claims = AddressClaims()
        self._lapsed = LapsedBackEnds(store_outages, clock)
        self._leaving = LeavingRuns()
        self.versions = ServiceVersions(directory, self._claims, clock)
        self._observers: list[Callable[[BackEnd], None]] = []
        self.num_displaced = 0
        """How often the directory replaced or removed the run that owned an address."""

    def observe_removal(self, observer: Callable[[BackEnd], None]) -> None:
        """Call `observer` with each back end that is removed from the directory."""
        self._observers.append(observer)

    def register(self, key: str, back_end: BackEnd, revision: int) -> None:
        """Process a registration that was written under a store key at a revision."""
        previous = self._claims.get(back_end.instance)
        if previous is not None and _is_reverted_by_restore(previous, back_end, revision):
            self._leaving.add(back_end.run_id)
        if previous is not None:
            self.versions.record_replaced(previous.back_end, back_end)
        self._claims.put(key, back_end, revision)
        self.versions.record_seen(back_end)
        if previous is not None and previous.back_end.address != back_end.address:
            self._update_owner(
                previous.back_end.address, OwnerProof.REGISTRATION, back_end.instance
            )
        self._update_owner(back_end.address, OwnerProof.REGISTRATION, back_end.instance)
        owner = self._directory.at(back_end.address)
        if previous is None and (owner is None or owner.instance != back_end.instance):
            self._event_log.event(
                "back_end_doubted", instance=back_end.instance, by=_instance_or_empty(owner),
                address=back_end.address, proof=OwnerProof.REGISTRATION.value,
            )  # fmt: skip

    def _update_owner(
        self, address: Address, proof: OwnerProof, newcomer: InstanceId | None = None
    ) -> None:
        """Update the directory so that it lists the run that owns an address.

        Args:
            address: The address.
            proof: The evidence that may have changed its owner.
            newcomer: The instance that has just registered. Any other instance that enters the
                directory is logged as restored.
        """
        listed = self._directory.at(address)
        owner = self._claims.owner(address)
        if listed is not None and (owner is None or owner.back_end.instance != listed.instance):
            if owner is None and listed.instance in self._lapsed:
                return
            self._displace(listed, None if owner is None else owner.back_end, proof)
        if owner is not None:
            self._add_to_directory(owner, proof, is_restored=owner.back_end.instance != newcomer)

    def _add_to_directory(self, owner: Claim, proof: OwnerProof, is_restored: bool) -> None:
        """Add an address owner to the directory, or update its entry there."""
        back_end = owner.back_end
        if back_end.run_id in self._leaving:
            back_end = _as_leaving(back_end)
        previous = self._directory.get(back_end.instance)
        self._lapsed.discard(back_end.instance)
        self._directory.put(back_end)
        for served in back_end.models:
            self._engine_versions.record_version(
                back_end.instance, served.name, served.version, "registration"
            )
        if previous is None and is_restored:
            self._event_log.event(
                "back_end_restored", instance=back_end.instance, address=back_end.address,
                proof=proof.value,
            )  # fmt: skip
        elif previous is None or previous.state is not back_end.state:
            self._log_state(back_end, LeavingSource.REGISTRATION)

    def _displace(self, listed: BackEnd, by: BackEnd | None, proof: OwnerProof) -> None:
        """Remove a back end that does not own its address any more."""
        self.num_displaced += 1
        self._remove(listed)
        self._event_log.event(
            "back_end_displaced", instance=listed.instance, by=_instance_or_empty(by),
            address=listed.address, proof=proof.value,
        )  # fmt: skip

    def mark_replaced(self, run: RunId, proof: OwnerProof) -> bool:
        """Record that another run answered at this run's address, so this run has ended.

        Returns:
            Whether this was new information.
        """
        return self._downgrade(run, ClaimStatus.REPLACED, proof)

    def mark_crashed(self, run: RunId) -> None:
        """Record that a run was seen to crash."""
        self._downgrade(run, ClaimStatus.CRASHED, OwnerProof.CRASH)

    def _downgrade(self, run: RunId, status: ClaimStatus, proof: OwnerProof) -> bool:
        claim = self._claims.downgrade(run, status)
        if claim is None:
            return False
        self._update_owner(claim.back_end.address, proof)
        return True

    def mark_answered(self, instance: InstanceId) -> None:
        """Record that a back end answered, which proves that it is the process at its address.

        The back end may have been removed from the directory by mistake: its requests in flight
        continue and then succeed. Answers of a leaving run prove nothing, because its address is
        about to be taken over and no new request is sent there that could reveal the new run.
        """
        claim = self._claims.get(instance)
        if claim is None or not self._claims.is_contested(claim.back_end.address):
            return
        if (
            claim.back_end.state is BackEndState.READY
            and claim.back_end.run_id not in self._leaving
        ):
            self._claims.record_answer(instance, self._clock())
            self._update_owner(claim.back_end.address, OwnerProof.ANSWER)

    def mark_leaving(self, run: RunId, source: LeavingSource) -> bool:
        """Record that a run announced in an answer that it is leaving.

        Returns:
            Whether this was new information.
        """
        if not self._leaving.add(run):
            return False
        for back_end in tuple(self._directory.all()):
            if back_end.run_id == run and back_end.state is not BackEndState.LEAVING:
                self._directory.put(_as_leaving(back_end))
                self._log_state(_as_leaving(back_end), source)
        return True

    def _log_state(self, back_end: BackEnd, source: LeavingSource) -> None:
        self._event_log.event(
            "back_end_seen" if back_end.state is BackEndState.READY else "back_end_leaving",
            instance=back_end.instance,
            service=back_end.service,
            address=back_end.address,
            zone=back_end.zone,
            software=back_end.software,
            source=source.value,
        )

    def end(self, instance: InstanceId) -> None:
        """Process the end of a registration."""
        claim = self._claims.get(instance)
        if claim is None:
            self.versions.record_unread_ended()
            return
        self.versions.record_ended(claim.back_end)
        back_end = self._directory.get(instance)
        if back_end is None:
            self._claims.end(instance)
            self._log_gone(claim.back_end)
            return
        if self._lapsed.may_include(back_end):
            self._claims.lapse(instance)
            if self._claims.owner(back_end.address) is None:
                self._retain_lapsed(back_end)
                return
        else:
            self._claims.end(instance)
        self._remove(back_end)
        self._log_gone(back_end)
        self._update_owner(back_end.address, OwnerProof.END)

    def end_missing(self, keys: Collection[str]) -> None:
        """End the registrations whose keys are missing from a full read of the store."""
        for claim in self._claims.all():
            if claim.key not in keys:
                self.end(claim.back_end.instance)

    def lapse_missing(self, keys: Collection[str]) -> list[InstanceId]:
        """Mark registrations as lapsed that are missing from a store restored from a backup.

        Live back ends register again, as they do after an outage.

        Args:
            keys: Keys of a full read of the store.

        Returns:
            The instances that lapsed.
        """
        lapsed: list[InstanceId] = []
        for claim in self._claims.all():
            back_end = self._directory.get(claim.back_end.instance)
            if claim.key in keys:
                continue
            if back_end is None or back_end.state is not BackEndState.READY:
                self.end(claim.back_end.instance)
                continue
            self._claims.lapse(back_end.instance)
            if self._claims.owner(back_end.address) is None:
                self._retain_lapsed(back_end)
                lapsed.append(back_end.instance)
        return lapsed

    def _retain_lapsed(self, back_end: BackEnd) -> None:
        lapsed = msgspec.structs.replace(back_end, state=BackEndState.LAPSED)
        self._directory.put(lapsed)
        self._lapsed.add(back_end.instance)
        self._event_log.event(
            "back_end_lapsed", instance=back_end.instance, address=back_end.address,
            outage_age_s=self._lapsed.outage_age_s(), kept_s=LAPSED_RETENTION_S,
        )  # fmt: skip

    def forget_lapsed(self) -> None:
        """Remove the lapsed back ends that have not registered again in time."""
        for instance in self._lapsed.overdue():
            back_end = self._directory.get(instance)
            if back_end is not None:
                self._remove(back_end)
                self._log_gone(back_end)

    def _remove(self, back_end: BackEnd) -> None:
        """Remove a back end from the directory, and notify the parts that hold data about it."""
        self.versions.record_ended(back_end)
        self._lapsed.discard(back_end.instance)
        self._directory.remove(back_end.instance)
        self._engine_versions.forget(back_end.instance)
        for observer in self._observers:
            observer(back_end)

    def _log_gone(self, back_end: BackEnd) -> None:
        self._event_log.event("back_end_gone", instance=back_end.instance, address=back_end.address)

    def ready(self, service: ServiceName) -> list[BackEnd]:
        """Return the back ends of a service that accept new requests."""
        self.forget_lapsed()
        return [
            back_end
            for back_end in self._directory.of_service(service)
            if back_end.state in ACCEPTING_STATES
        ]


def _is_reverted_by_restore(previous: Claim, back_end: BackEnd, revision: int) -> bool:
    """Return whether a leaving run is ready again only because the store was restored."""
    return (
        previous.back_end.state is BackEndState.LEAVING
        and back_end.state is BackEndState.READY
        and previous.back_end.run_id == back_end.run_id
        and era_of(revision) > era_of(previous.first_revision)
    )


def _instance_or_empty(back_end: BackEnd | None) -> str:
    """Return the instance of a back end, or an empty string for None."""
    return "" if back_end is None else back_end.instance


def _as_leaving(back_end: BackEnd) -> BackEnd:
    """Return a copy of a back end that accepts no new requests."""
    return msgspec.structs.replace(back_end, state=BackEndState.LEAVING)
