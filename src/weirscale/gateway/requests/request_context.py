"""What the requests of a node share."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.requests.admission import AdmissionControl
from weirscale.gateway.requests.attempt_records import AttemptRecords
from weirscale.gateway.requests.attempt_timeout import AttemptTimeoutWatch
from weirscale.gateway.requests.back_end_selector import BackEndSelector
from weirscale.gateway.requests.crash_reports import CrashReporter
from weirscale.gateway.requests.request_log import RequestLog
from weirscale.gateway.requests.retry_decision import NodeRetryBudget
from weirscale.gateway.requests.stream_pauses import StreamPauses


class RequestContext(msgspec.Struct, frozen=True):
    """The parts of a node that handle its requests.

    Attributes:
        clock: Monotonic seconds.
        admission: Which requests may be sent on.
        selector: Which back end an attempt goes to.
        port_of: Returns the port of a back end.
        timeouts: Ends attempts whose back end is silent.
        retry_budget: Retries that this node may spend.
        pauses: Timeouts and queue limits, learnt from streams.
        records: What is recorded of attempts.
        crash_reporter: Reports of back ends that crashed.
        log: Lines and counts of requests that have ended.
    """

    clock: Callable[[], float]
    admission: AdmissionControl
    selector: BackEndSelector
    port_of: Callable[[BackEnd], BackEndPort]
    timeouts: AttemptTimeoutWatch
    retry_budget: NodeRetryBudget
    pauses: StreamPauses
    records: AttemptRecords
    crash_reporter: CrashReporter
    log: RequestLog
