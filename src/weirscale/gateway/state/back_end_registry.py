"""Back ends as they register, leave, lapse with the store and are forgotten."""

import enum
from collections.abc import Callable, Collection

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import (
    ACCEPTING_STATES,
    BackEnd,
    BackEndDirectory,
    BackEndState,
    LeavingSource,
)
from weirscale.gateway.model.identifiers import Address, InstanceId, RunId
from weirscale.gateway.model.store_positions import era_of
from weirscale.gateway.state.address_claims import AddressClaims, Claim, Standing
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.lapsed_back_ends import LAPSED_KEPT_S, LapsedBackEnds
from weirscale.gateway.state.leaving_runs import LeavingRuns
from weirscale.gateway.state.store_outages import StoreOutageDetector
from weirscale.ports.event_log import EventLog

ESTABLISHED_S = 20.0
"""Seconds after its first registration from which a service version counts as proved, so that a
rollout to it needs no canary. Not measured."""


class OwnerProof(enum.Enum):
    """What decided who is taken for the process at an address, for the log."""

    REGISTRATION = "registration"
    """A registration came."""
    END = "end"
    """A registration ended."""
    OTHER_RUN = "other_run"
    """Another run answered this node, or an order of it, at the address."""
    PEER = "peer"
    """Another run answered another node there."""
    ANSWER = "answer"
    """A run answered."""
    CRASH = "crash"
    """A run was seen to crash."""


class BackEndRegistry:
    """Keeps the directory of back ends by their registrations in the store.

    What is registered and who is used are two things: each registration is known from its first
    sight to its end, and the directory has for each address the one run that is taken for the
    process there (`address_claims.py`). When that one goes, the next one that is still registered
    takes its place at once: a live back end does not register anew because another one ended.

    A registration that ends just after an outage of the store may have lapsed with it: its back end
    is used a little longer, unless it had said that it leaves.

    A back end also says in its answers that it leaves, and while the store is away only there. That
    word stands against every registration of the same run: one that says ready was written, or is
    read, late. Only the next run of the back end takes new work.

    Args:
        directory: The back ends; this is its only writer.
        engine_versions: Which weights engines have.
        store_outages: When the store was away for all nodes.
        event_log: Where back ends that come and go are logged.
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
        self._first_seen_s: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        """When this node first saw a service version: how long those have been there that it finds
        at its start it cannot know."""
        self._observers: list[Callable[[BackEnd], None]] = []
        self.num_displaced = 0
        """How often another run was taken for the process at an address."""

    def observe_removal(self, observer: Callable[[BackEnd], None]) -> None:
        """Have a function called with each back end that is not used any more."""
        self._observers.append(observer)

    def register(self, key: str, back_end: BackEnd, revision: int) -> None:
        """Take over a registration under a key of the store, as written at a revision."""
        earlier = self._claims.get(back_end.instance)
        if earlier is not None and _is_taken_back(earlier, back_end, revision):
            self._leaving.add(back_end.run_id)
        self._claims.put(key, back_end, revision)
        self._first_seen_s.setdefault((back_end.service, back_end.software), self._clock())
        if earlier is not None and earlier.back_end.address != back_end.address:
            self._settle(earlier.back_end.address, OwnerProof.REGISTRATION, back_end.instance)
        self._settle(back_end.address, OwnerProof.REGISTRATION, back_end.instance)
        owner = self._directory.at(back_end.address)
        if earlier is None and (owner is None or owner.instance != back_end.instance):
            self._event_log.event(
                "back_end_doubted", instance=back_end.instance, by=_name_of(owner),
                address=back_end.address, proof=OwnerProof.REGISTRATION.value,
            )  # fmt: skip

    def _settle(
        self, address: Address, proof: OwnerProof, newcomer: InstanceId | None = None
    ) -> None:
        """Have the directory list the run that owns an address.

        Args:
            address: The address.
            proof: What has changed there.
            newcomer: Who has just registered; any other that comes into use is restored.
        """
        listed = self._directory.at(address)
        owner = self._claims.owner(address)
        if listed is not None and (owner is None or owner.back_end.instance != listed.instance):
            if owner is None and listed.instance in self._lapsed:
                return
            self._displace(listed, None if owner is None else owner.back_end, proof)
        if owner is not None:
            self._list(owner, proof, is_restored=owner.back_end.instance != newcomer)

    def _list(self, owner: Claim, proof: OwnerProof, is_restored: bool) -> None:
        """Put an owner, or what has changed of it, into the directory."""
        back_end = owner.back_end
        if back_end.run_id in self._leaving:
            back_end = _leaving(back_end)
        known = self._directory.get(back_end.instance)
        self._lapsed.discard(back_end.instance)
        self._directory.put(back_end)
        for served in back_end.models:
            self._engine_versions.record_version(
                back_end.instance, served.name, served.version, "registration"
            )
        if known is None and is_restored:
            self._event_log.event(
                "back_end_restored", instance=back_end.instance, address=back_end.address,
                proof=proof.value,
            )  # fmt: skip
        elif known is None or known.state is not back_end.state:
            self._log_seen(back_end, LeavingSource.REGISTRATION)

    def _displace(self, listed: BackEnd, by: BackEnd | None, proof: OwnerProof) -> None:
        """Use a back end no more whose address another run has, or which is not there."""
        self.num_displaced += 1
        self._remove(listed)
        self._event_log.event(
            "back_end_displaced", instance=listed.instance, by=_name_of(by),
            address=listed.address, proof=proof.value,
        )  # fmt: skip

    def mark_replaced(self, run: RunId, proof: OwnerProof) -> bool:
        """Take that another run answered at the address of this one, which so has ended.

        Returns:
            Whether that was not known.
        """
        return self._doubt(run, Standing.ABSENT, proof)

    def mark_crashed(self, run: RunId) -> None:
        """Take that a run was seen to crash."""
        self._doubt(run, Standing.CRASHED, OwnerProof.CRASH)

    def _doubt(self, run: RunId, standing: Standing, proof: OwnerProof) -> bool:
        claim = self._claims.doubt(run, standing)
        if claim is None:
            return False
        self._settle(claim.back_end.address, proof)
        return True

    def mark_answered(self, instance: InstanceId) -> None:
        """Take that a back end has answered: it is the process at its address.

        That may be one that is not used any more: its running requests go on, and end well if it
        was taken for ended by mistake. What a run answers that leaves proves nothing: its address
        is about to pass on, and nothing is sent there that could show that it has.
        """
        claim = self._claims.get(instance)
        if claim is None or not self._claims.is_contested(claim.back_end.address):
            return
        if (
            claim.back_end.state is BackEndState.READY
            and claim.back_end.run_id not in self._leaving
        ):
            self._claims.answered(instance, self._clock())
            self._settle(claim.back_end.address, OwnerProof.ANSWER)

    def mark_leaving(self, run: RunId, source: LeavingSource) -> bool:
        """Take that a run of a back end has said in an answer that it leaves.

        Returns:
            Whether it was not known of this run.
        """
        if not self._leaving.add(run):
            return False
        for back_end in tuple(self._directory.all()):
            if back_end.run_id == run and back_end.state is not BackEndState.LEAVING:
                self._directory.put(_leaving(back_end))
                self._log_seen(_leaving(back_end), source)
        return True

    def _log_seen(self, back_end: BackEnd, source: LeavingSource) -> None:
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
        """Take over that a registration has ended."""
        claim = self._claims.get(instance)
        if claim is None:
            return
        known = self._directory.get(instance)
        if known is None:
            self._claims.end(instance)
            self._log_gone(claim.back_end)
            return
        if self._lapsed.may_include(known):
            self._claims.lapse(instance)
            if self._claims.owner(known.address) is None:
                self._keep_lapsed(known)
                return
        else:
            self._claims.end(instance)
        self._remove(known)
        self._log_gone(known)
        self._settle(known.address, OwnerProof.END)

    def end_missing(self, keys: Collection[str]) -> None:
        """End the registrations whose keys are not in a reading of everything."""
        for claim in self._claims.all():
            if claim.key not in keys:
                self.end(claim.back_end.instance)

    def lapse_missing(self, keys: Collection[str]) -> list[InstanceId]:
        """Take the registrations that a store lost as it came back from a copy for lapsed.

        Back ends that live register again as after an outage.

        Args:
            keys: Keys of a reading of everything.

        Returns:
            Who has lapsed.
        """
        lapsed: list[InstanceId] = []
        for claim in self._claims.all():
            known = self._directory.get(claim.back_end.instance)
            if claim.key in keys:
                continue
            if known is None or known.state is not BackEndState.READY:
                self.end(claim.back_end.instance)
                continue
            self._claims.lapse(known.instance)
            if self._claims.owner(known.address) is None:
                self._keep_lapsed(known)
                lapsed.append(known.instance)
        return lapsed

    def _keep_lapsed(self, back_end: BackEnd) -> None:
        lapsed = msgspec.structs.replace(back_end, state=BackEndState.LAPSED)
        self._directory.put(lapsed)
        self._lapsed.add(back_end.instance)
        self._event_log.event(
            "back_end_lapsed", instance=back_end.instance, address=back_end.address,
            outage_age_s=self._lapsed.outage_age_s(), kept_s=LAPSED_KEPT_S,
        )  # fmt: skip

    def forget_lapsed(self) -> None:
        """Forget the lapsed back ends that have not registered again in time."""
        for instance in self._lapsed.overdue():
            known = self._directory.get(instance)
            if known is not None:
                self._remove(known)
                self._log_gone(known)

    def _remove(self, back_end: BackEnd) -> None:
        """Take a back end out of use: all that is kept of it elsewhere goes."""
        self._lapsed.discard(back_end.instance)
        self._directory.remove(back_end.instance)
        self._engine_versions.forget(back_end.instance)
        for observer in self._observers:
            observer(back_end)

    def _log_gone(self, back_end: BackEnd) -> None:
        self._event_log.event("back_end_gone", instance=back_end.instance, address=back_end.address)

    def ready(self, service: ServiceName) -> list[BackEnd]:
        """Return the back ends of a service that take new work."""
        self.forget_lapsed()
        return [
            back_end
            for back_end in self._directory.of_service(service)
            if back_end.state in ACCEPTING_STATES
        ]

    def is_established(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Whether a service version has served for `ESTABLISHED_S`, or is the only one.

        Back ends that an operator starts just before a rollout to their version don't establish it,
        nor do those that this node found at its own start just before.
        """
        if {one.software for one in self._directory.of_service(service)} == {version}:
            return True
        since_s = self._first_seen_s.get((service, version))
        return since_s is not None and self._clock() - since_s >= ESTABLISHED_S


def _is_taken_back(earlier: Claim, back_end: BackEnd, revision: int) -> bool:
    """Whether a run that leaves is ready again only because the store came back from a copy."""
    return (
        earlier.back_end.state is BackEndState.LEAVING
        and back_end.state is BackEndState.READY
        and earlier.back_end.run_id == back_end.run_id
        and era_of(revision) > era_of(earlier.first_revision)
    )


def _name_of(back_end: BackEnd | None) -> str:
    """Return the instance of a back end, empty for none."""
    return "" if back_end is None else back_end.instance


def _leaving(back_end: BackEnd) -> BackEnd:
    """Return a back end as one that takes no new work."""
    return msgspec.structs.replace(back_end, state=BackEndState.LEAVING)
