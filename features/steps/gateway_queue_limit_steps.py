"""Steps of `gateway_queue_limit.feature`; its last step is shared with `gateway_overload.feature`."""

from behave import given, when

from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.configuration import RequestKind, Route
from weirscale.gateway.requests.stream_pauses import StreamPauses

ROUTE = Route(
    "draft", "h", "/", RequestKind.STREAMING, (), timeout_s=4.0, objective_s=1.0, max_pause_s=0.5
)


@given("a service whose engines have just been idle for {seconds:d} seconds")
def step_idle_before(context, seconds):
    context.pauses = StreamPauses()
    context.limit = context.pauses.queue_limit("lm")
    context.limit.level = 1.0
    context.limit.record_idle_share(1.0, 0.0)
    stay_idle(context.limit, seconds)


def stay_idle(limit, seconds):
    """Observe that all engines are idle, every tenth of a second."""
    began_s = limit.idle_updated_at_s
    for number in range(1, 10 * seconds + 1):
        limit.record_idle_share(1.0, began_s + number / 10)


@when("all of these engines stall for {stalled:g} seconds and are then idle for {idle:d} seconds")
def step_stall(context, stalled, idle):
    context.limit.record_stall(stalled)
    stay_idle(context.limit, idle)


@when(
    "at one of {engines:d} engines with streams {streams:d} streams pause for {pause:g} s, "
    "starting {apart:g} s apart"
)
def step_pause_together(context, engines, streams, pause, apart):
    back_ends = [
        BackEnd(f"r-{number}", "lm", f"10.3.0.{number}:8080", "here", BackEndState.READY, 4)
        for number in range(engines)
    ]
    for back_end in back_ends:
        context.pauses.stream_began(back_end)
    for number in range(streams):
        context.pauses.stream_began(back_ends[0])
        context.pauses.record_stall(back_ends[0], ROUTE, pause, pause + number * apart)
