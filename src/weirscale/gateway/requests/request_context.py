"""Parts that all requests of a node share."""

from collections.abc import Callable

import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.paths.path_checks import TrafficWatch
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.requests.admission import AdmissionControl
from weirscale.gateway.requests.answer_buffers import AnswerBuffers
from weirscale.gateway.requests.answer_ends import AnswerEnds
from weirscale.gateway.requests.attempt_records import AttemptRecords
from weirscale.gateway.requests.attempt_timeout import AttemptTimeoutWatch
from weirscale.gateway.requests.back_end_selector import BackEndSelector
from weirscale.gateway.requests.crash_reports import CrashReporter
from weirscale.gateway.requests.request_log import RequestLog
from weirscale.gateway.requests.retry_decision import NodeRetryBudget
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.requests.stream_resumption import StreamResumption


class RequestContext(msgspec.Struct, frozen=True):
    """Parts of a node that handle its requests.

    Attributes:
        clock: Returns the current time in monotonic seconds.
        admission: Decides which requests may be sent to back ends.
        selector: Selects the back end for an attempt.
        port_of: Returns the port of a back end.
        timeouts: Abandons attempts whose back end is silent.
        retry_budget: This node's part of the shared retry budget.
        pauses: Timeouts and queue limits derived from the pauses of streams.
        traffic: Detects that all back ends are silent.
        records: Records attempts.
        streams: Finds the service versions of streams that callers take up.
        answer_ends: Proves answers whole whose end nothing but their connection marks.
        crash_reporter: Reports crashes of back ends.
        log: Logs and counts requests that have ended.
        answer_buffers: Limits the memory of the answers that the node holds.
    """

    clock: Callable[[], float]
    admission: AdmissionControl
    selector: BackEndSelector
    port_of: Callable[[BackEnd], BackEndPort]
    timeouts: AttemptTimeoutWatch
    retry_budget: NodeRetryBudget
    pauses: StreamPauses
    traffic: TrafficWatch
    records: AttemptRecords
    streams: StreamResumption
    answer_ends: AnswerEnds
    crash_reporter: CrashReporter
    log: RequestLog
    answer_buffers: AnswerBuffers = msgspec.field(default_factory=AnswerBuffers)
