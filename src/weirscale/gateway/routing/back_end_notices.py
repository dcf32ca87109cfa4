"""What back ends say of themselves in their answers: one place that takes it all."""

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.ports.back_end import AnswerNotice
from weirscale.gateway.state.leaving_runs import LeavingRuns
from weirscale.ports.event_log import EventLog


class BackEndNotices:
    """Takes the notices of all answers.

    Args:
        event_log: Where notices are logged.
    """

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._leaving = LeavingRuns()

    def take(self, back_end: BackEnd, notice: AnswerNotice) -> None:
        """Take what an answer says of its back end."""
        if notice.is_leaving and self._leaving.add(back_end.run_id):
            self._event_log.event(
                "back_end_leaving", instance=back_end.instance, service=back_end.service,
                address=back_end.address, zone=back_end.zone, software=back_end.software,
                source="answer",
            )  # fmt: skip
        if notice.rest_s > 0.0:
            self._event_log.event(
                "back_end_rest", instance=back_end.instance, address=back_end.address,
                asked_s=notice.rest_s,
            )  # fmt: skip
        if notice.unreadable_rest:
            self._event_log.event(
                "back_end_rest_unreadable", instance=back_end.instance,
                value=notice.unreadable_rest, remedy="have the back end write seconds",
            )  # fmt: skip
