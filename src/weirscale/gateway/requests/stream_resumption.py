"""Decides at which service version a caller's try may take up a stream that broke off.

A stream that a caller takes up may have begun at any node. Its origin is known to this node, to the
nodes that were told of it, or follows from a proof that the service has had a single version for
longer than any of its streams lives. Otherwise the try is refused, because back ends do not check
whether what they add fits.
"""

import enum
from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.domain.rendezvous import rendezvous_key
from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.configuration import RequestKind
from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.streams.origin_exchange import OriginExchange
from weirscale.gateway.streams.origin_store import (
    OriginConflict,
    OriginStore,
    StoredOrigin,
    StreamOrigin,
)
from weirscale.gateway.streams.sole_version import SoleVersionProof
from weirscale.gateway.telemetry.node_metrics import NodeMetrics
from weirscale.gateway.telemetry.request_summary import MAX_LOGGED_ID_CHARS
from weirscale.ports.event_log import EventLog

STREAM_LIFE_FACTOR = 2.0
"""Longest time from the first event of a stream to a try that takes it up, as a multiple of the
route's timeout: a whole try, and another one that waits in between."""

MAX_WAIT_SHARE = 0.3
"""Largest share of the try's remaining time that is spent on a proof."""


class KnownBy(enum.StrEnum):
    """How the origin of a stream is known; listed in the log and in metrics."""

    OWN = "own"
    """This node began the stream, or was told of it."""
    PEER = "peer"
    """Another node knew it."""
    SOLE = "sole"
    """The service has had a single version for long enough."""
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    """Streams of several versions began under the same id."""


class Resumption(msgspec.Struct, frozen=True):
    """What is known about a stream that a caller takes up.

    Attributes:
        known_by: How its origin is known.
        origin: Its origin; None if the stream must not be taken up.
    """

    known_by: KnownBy
    origin: StreamOrigin | None


class StreamResumption:
    """Announces streams that begin at this node, and finds the origins of those taken up here.

    Args:
        store: Origins that this node knows.
        exchange: Tells and asks other nodes.
        proof: Proves that a service has had a single version.
        event_log: Receives a line for each stream that is taken up.
        metrics: Counts them.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        store: OriginStore,
        exchange: OriginExchange,
        proof: SoleVersionProof,
        event_log: EventLog,
        metrics: NodeMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._proof = proof
        self._event_log = event_log
        self._metrics = metrics
        self._clock = clock

    async def announce(self, admitted: AdmittedRequest, version: SoftwareVersion) -> None:
        """Tell other nodes which version makes the first event of a request's stream."""
        request_id = admitted.request.request_id
        if admitted.route.is_resumable and request_id:
            key = stream_key(admitted, request_id)
            await self._exchange.announce(key, StreamOrigin(admitted.service, version))

    async def find(self, admitted: AdmittedRequest) -> Resumption:
        """Return what is known about the stream that a request takes up, and log it."""
        began_s = self._clock()
        resumption = await self._find(admitted)
        request, origin = admitted.request, resumption.origin
        self._metrics.count_resumed_stream(resumption.known_by)
        self._event_log.event(
            "stream_resumed",
            id=request.request_id,
            resumes=(request.resumes or "")[:MAX_LOGGED_ID_CHARS],
            service=origin.service if origin else admitted.service,
            software=origin.version if origin else "",
            known_by=resumption.known_by.value,
            ms=round((self._clock() - began_s) * MILLISECONDS_PER_S, 1),
        )
        return resumption

    async def _find(self, admitted: AdmittedRequest) -> Resumption:
        resumes = admitted.request.resumes
        if resumes:
            key = stream_key(admitted, resumes)
            stored = self._store.get(key)
            if stored is not None:
                return _resumption(KnownBy.OWN, stored)
            found = await self._exchange.find(key)
            if found is not None:
                return _resumption(KnownBy.PEER, found)
        return await self._prove(admitted)

    async def _prove(self, admitted: AdmittedRequest) -> Resumption:
        if len(admitted.route.parts) > 1:
            return Resumption(KnownBy.UNKNOWN, None)
        life_s = STREAM_LIFE_FACTOR * admitted.route.timeout_s
        max_wait_s = MAX_WAIT_SHARE * (admitted.deadline_s - self._clock())
        version = await self._proof.sole_version(admitted.service, life_s, max_wait_s)
        if version is None:
            return Resumption(KnownBy.UNKNOWN, None)
        return Resumption(KnownBy.SOLE, StreamOrigin(admitted.service, version))


def takes_up_stream(admitted: AdmittedRequest) -> bool:
    """Return whether a request takes up a stream that an earlier try of its caller began."""
    route, request = admitted.route, admitted.request
    is_resumable = route.kind is RequestKind.STREAMING and route.is_resumable
    return is_resumable and (request.resume_after is not None or request.resumes is not None)


def stream_key(admitted: AdmittedRequest, request_id: RequestId) -> int:
    """Return the key of a tenant's stream by the id of the try that received its first event."""
    tenant = admitted.tenant.name if admitted.tenant else ""
    return rendezvous_key(f"{tenant}\n{request_id}")


def _resumption(known_by: KnownBy, stored: StoredOrigin) -> Resumption:
    if isinstance(stored, OriginConflict):
        return Resumption(KnownBy.CONFLICT, None)
    return Resumption(known_by, stored)


def is_service_of(admitted: AdmittedRequest, service: ServiceName) -> bool:
    """Return whether the request's route still sends requests to a service."""
    return any(part.service == service for part in admitted.route.parts)
