"""Model of a service back end without I/O: records runs and derives answers from requests."""

from collections import deque
from collections.abc import Mapping

import msgspec
import xxhash

from weirscale.domain.identifiers import BackendName, RequestId, ServiceName
from weirscale.ports.service_headers import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER

MAX_RECORDS = 200_000
OK = 200


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Properties of a stand-in back end.

    Attributes:
        name: The back end's name.
        service: The service that it belongs to.
        run_s: Duration of a request, in seconds.
    """

    name: BackendName
    service: ServiceName
    run_s: float = 0.005


class ServiceRun(msgspec.Struct, frozen=True):
    """One run of a request.

    Attributes:
        backend: Back end that ran the request.
        request_id: Id of the caller's request.
        idempotency_key: The caller's idempotency key, or None.
        method: HTTP method.
        path: Path and query below the service's root.
        ran_at_s: Time of the run.
    """

    backend: BackendName
    request_id: RequestId
    idempotency_key: str | None
    method: str
    path: str
    ran_at_s: float


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Body of an answer; it names the request, so that a crossed answer can be detected.

    Attributes:
        backend: Back end that ran the request.
        request_id: Id of the answered request.
        body_digest: Digest of the body of the answered request.
        run_number: Number of the run at this back end, from 1.
    """

    backend: BackendName
    request_id: RequestId
    body_digest: str
    run_number: int


def body_digest(body: bytes) -> str:
    """Return the 64-bit digest of a request body, as in answers, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(body)


class ServiceModel:
    """Runs requests and records them; faults do not erase the records."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self._runs: deque[ServiceRun] = deque(maxlen=MAX_RECORDS)
        self._num_runs = 0

    def run(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, now_s: float
    ) -> ServiceAnswer:
        """Run and record one request."""
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
        """Return the recorded runs, oldest first; at most MAX_RECORDS are kept."""
        return list(self._runs)
