"""Back ends as they register, leave, lapse with the store and are forgotten."""

from collections.abc import Callable, Collection

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import (
    TAKES_WORK,
    BackEnd,
    BackEndDirectory,
    BackEndState,
    LeavingSource,
)
from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.leaving_runs import LeavingRuns
from weirscale.gateway.state.store_outages import StoreOutageDetector
from weirscale.ports.event_log import EventLog

ESTABLISHED_S = 20.0
"""Seconds after its first registration from which a service version counts as proved, so that a
rollout to it needs no canary. Not measured."""

LAPSE_S = 2.0
"""Seconds after an outage of the store within which the end of a registration is taken for a lapse:
the back end could not renew it. Not measured."""

LAPSED_KEPT_S = 1.7
"""Seconds for which a lapsed back end is still used. Those that live register again within some two
seconds of the store's return; one that is gone must get no new work two seconds after its
registration ended, and the rest is for a change's way to this node. Not measured."""


class BackEndRegistry:
    """Keeps the directory of back ends by their registrations in the store.

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
        self._store_outages = store_outages
        self._event_log = event_log
        self._clock = clock
        self._keys: dict[InstanceId, str] = {}
        self._lapsed_until_s: dict[InstanceId, float] = {}
        self._leaving = LeavingRuns()
        self._first_seen_s: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        """When this node first saw a service version: how long those have been there that it finds
        at its start it cannot know."""
        self._observers: list[Callable[[BackEnd], None]] = []

    def observe_gone(self, observer: Callable[[BackEnd], None]) -> None:
        """Have a function called with each back end that is forgotten."""
        self._observers.append(observer)

    def register(self, key: str, back_end: BackEnd) -> None:
        """Take over a registration under a key of the store."""
        if back_end.run_id in self._leaving:
            back_end = _leaving(back_end)
        known = self._directory.get(back_end.instance)
        self._lapsed_until_s.pop(back_end.instance, None)
        for displaced in self._directory.put(back_end):
            self._event_log.event(
                "back_end_displaced", instance=displaced, by=back_end.instance,
                address=back_end.address,
            )  # fmt: skip
            self._keys.pop(displaced, None)
            self._lapsed_until_s.pop(displaced, None)
        self._keys[back_end.instance] = key
        self._first_seen_s.setdefault((back_end.service, back_end.software), self._clock())
        for served in back_end.models:
            self._engine_versions.learn(
                back_end.instance, served.name, served.version, "registration"
            )
        if known is None or known.state is not back_end.state:
            self._log_seen(back_end, LeavingSource.REGISTRATION)

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
        self._keys.pop(instance, None)
        known = self._directory.get(instance)
        if known is not None and self._may_have_lapsed(known):
            self._keep_lapsed(known)
        else:
            self._forget(instance)

    def end_missing(self, keys: Collection[str]) -> None:
        """End the registrations whose keys are not in a reading of everything."""
        for instance, key in list(self._keys.items()):
            if key not in keys:
                self.end(instance)

    def _may_have_lapsed(self, back_end: BackEnd) -> bool:
        return back_end.state is BackEndState.READY and self._outage_age_s() <= LAPSE_S

    def _outage_age_s(self) -> float:
        now_s = self._clock()
        return now_s - self._store_outages.outage_ended_s(now_s)

    def _keep_lapsed(self, back_end: BackEnd) -> None:
        lapsed = msgspec.structs.replace(back_end, state=BackEndState.LAPSED)
        self._directory.put(lapsed)
        self._lapsed_until_s[back_end.instance] = self._clock() + LAPSED_KEPT_S
        self._event_log.event(
            "back_end_lapsed", instance=back_end.instance, address=back_end.address,
            outage_age_s=self._outage_age_s(), kept_s=LAPSED_KEPT_S,
        )  # fmt: skip

    def forget_lapsed(self) -> None:
        """Forget the lapsed back ends that have not registered again in time."""
        now_s = self._clock()
        for instance, until_s in list(self._lapsed_until_s.items()):
            if until_s <= now_s:
                self._forget(instance)

    def _forget(self, instance: InstanceId) -> None:
        self._lapsed_until_s.pop(instance, None)
        known = self._directory.remove(instance)
        self._engine_versions.forget(instance)
        if known is not None:
            self._event_log.event("back_end_gone", instance=instance, address=known.address)
            for observer in self._observers:
                observer(known)

    def ready(self, service: ServiceName) -> list[BackEnd]:
        """Return the back ends of a service that take new work."""
        if self._lapsed_until_s:
            self.forget_lapsed()
        return [
            back_end
            for back_end in self._directory.of_service(service)
            if back_end.state in TAKES_WORK
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


def _leaving(back_end: BackEnd) -> BackEnd:
    """Return a back end as one that takes no new work."""
    return msgspec.structs.replace(back_end, state=BackEndState.LEAVING)
