"""Service back end behind the service port, in this process."""

from collections.abc import Mapping

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import ServiceRequest, ServiceResponse
from weirscale.ports.service import ServiceFailure, ServiceFailureKind
from weirscale.ports.service_headers import answers_request, request_headers, response_headers
from weirscale.standins.faults import FaultSwitch, ServiceFaults
from weirscale.standins.service.model import OK, ServiceModel, ServiceSettings

OTHER_REQUEST_ID = RequestId("another-request")
NO_FAULTS = ServiceFaults()


class InProcessService:
    """A `ServicePort` with an in-process back end; it needs no background task."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.model = ServiceModel(settings)
        self.faults: FaultSwitch[ServiceFaults] = FaultSwitch(NO_FAULTS)

    @property
    def is_reachable(self) -> bool:
        """Whether the back end accepts connections now."""
        return not self.faults.current.refuse_connections

    async def call(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        """Send the request once; fail if no answer comes within `time_left_s` seconds."""
        if not self.is_reachable:
            return Err(ServiceFailure(ServiceFailureKind.UNREACHABLE, "connection refused"))
        answer: ServiceResponse | None = None
        with anyio.move_on_after(time_left_s) as scope:
            headers = request_headers(request)
            answer = await self.handle(request.method, request.path, headers, request.body)
        if scope.cancelled_caught:
            detail = f"no answer within {time_left_s} s"
            return Err(ServiceFailure(ServiceFailureKind.TIMED_OUT, detail))
        if answer is None:
            return Err(ServiceFailure(ServiceFailureKind.BROKEN, "the connection broke"))
        if not answers_request(answer.headers, request):
            detail = "the answer belongs to another request"
            return Err(ServiceFailure(ServiceFailureKind.CORRUPT, detail))
        return Ok(answer)

    async def handle(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse | None:
        """Run one request with the active faults; return None for a broken connection."""
        faults = self.faults.faults_for_call()
        if faults.stall_before_run:
            await anyio.sleep_forever()
        if faults.break_before_run:
            return None
        if faults.fail_status is not None:
            return ServiceResponse(faults.fail_status, {}, b"{}")
        await anyio.sleep(self.settings.run_s)
        answer = self.model.run(method, path, headers, body, anyio.current_time())
        if faults.break_after_run:
            return None
        if faults.lose_answer:
            await anyio.sleep_forever()
        await anyio.sleep(faults.answer_delay_s)
        if faults.cross_answers:
            answer = msgspec.structs.replace(answer, request_id=OTHER_REQUEST_ID)
        return ServiceResponse(OK, response_headers(answer.request_id), msgspec.json.encode(answer))
