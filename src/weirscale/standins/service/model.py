"""Model of a service back end, with no I/O: every run is recorded, answers derive from requests."""

from collections import deque
from collections.abc import Mapping

import msgspec
import xxhash

from weirscale.domain.identifiers import BackendName, RequestId, ServiceName
from weirscale.ports.service_headers import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER

MAX_RECORDS = 200_000
OK = 200


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a stand-in back end is like.

    Attributes:
        name: The back end's name.
        service: The service that it belongs to.
        run_s: Time that a request takes, in seconds.
    """

    name: BackendName
    service: ServiceName
    run_s: float = 0.005


class ServiceRun(msgspec.Struct, frozen=True):
    """One run of one request.

    Attributes:
        backend: Where it ran.
        request_id: The caller's request.
        idempotency_key: The caller's key, or None.
        method: HTTP method.
        path: Path and query below the service's root.
        ran_at_s: When it ran.
    """

    backend: BackendName
    request_id: RequestId
    idempotency_key: str | None
    method: str
    path: str
    ran_at_s: float


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Body of an answer: it names the request, so that a crossed answer shows.

    Attributes:
        backend: Where it ran.
        request_id: The request that it answers.
        body_digest: Digest of the body that it answers.
        run_number: Counts the runs of this back end.
    """

    backend: BackendName
    request_id: RequestId
    body_digest: str
    run_number: int


def body_digest(body: bytes) -> str:
    """Return the 64-bit digest that answers carry, hexadecimal."""
    return xxhash.xxh3_64_hexdigest(body)


class ServiceModel:
    """Runs requests and remembers them; the record outlives faults."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self._runs: deque[ServiceRun] = deque(maxlen=MAX_RECORDS)
        self._num_runs = 0

    def run(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, now_s: float
    ) -> ServiceAnswer:
        """Run one request."""
        request_id = RequestId(headers.get(REQUEST_ID_HEADER, ""))
        self._num_runs += 1
        self._runs.append(
            ServiceRun(
                backend=self.settings.name,
                request_id=request_id,
                idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER),
                method=method,
                path=path,
                ran_at_s=now_s,
            )
        )
        return ServiceAnswer(self.settings.name, request_id, body_digest(body), self._num_runs)

    def runs(self) -> list[ServiceRun]:
        """Return every run, oldest first."""
        return list(self._runs)
