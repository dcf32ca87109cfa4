"""Rules on what callers receive: whole, in order, their own, and truthful refusals."""

from collections.abc import Sequence

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import RunStatus
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import (
    ChunkReceived,
    GenerationAnswered,
    RefusalReceived,
    ServiceAnswered,
    ServiceSent,
)

STREAM_WHOLE_IN_ORDER = "stream_whole_in_order"
WHOLE_OWN_ANSWER = "whole_own_answer"
NOT_RUN_IS_TRUE = "not_run_is_true"
AT_MOST_ONCE = "at_most_once"

FIRST_NOT_OK_STATUS = 300


def check_stream_whole_in_order(history: History) -> list[Violation]:
    """Check that every stream is complete and in order.

    Chunks are numbered 0, 1, … without gap or repeat, none follows the end, and a stream ends
    normally only with a finish reason.
    """
    violations: list[Violation] = []
    for request_id, chunks in history.chunks.items():
        if not _are_in_order(chunks):
            detail = f"chunks came as {_shorten([chunk.sequence for chunk in chunks])}"
            violations.append(Violation(STREAM_WHOLE_IN_ORDER, (request_id,), detail))
        ending = history.ending(request_id)
        if ending is not None and chunks[-1].at_s > ending.at_s:
            detail = "a chunk came after the end of the stream"
            violations.append(Violation(STREAM_WHOLE_IN_ORDER, (request_id,), detail))
    for answered in history.of_type(GenerationAnswered):
        if answered.finish_reason is None:
            detail = "the stream ended normally without a finish reason"
            violations.append(Violation(STREAM_WHOLE_IN_ORDER, (answered.request_id,), detail))
        elif is_truncated(history, answered.request_id):
            detail = "the stream ended normally before the whole answer"
            violations.append(Violation(STREAM_WHOLE_IN_ORDER, (answered.request_id,), detail))
    return violations


def _shorten(sequences: list[int]) -> str:
    """Show the numbers around the first one that is out of place."""
    wrong = next(index for index, number in enumerate(sequences) if index != number)
    return f"… {sequences[max(0, wrong - 2) : wrong + 3]} at place {wrong}"


def is_truncated(history: History, request_id: RequestId) -> bool:
    """Whether a stream that ended normally is a proper beginning of the right answer."""
    text = history.text(request_id)
    expected = history.expected(request_id) or ""
    return text != expected and expected.startswith(text)


def is_crossed(history: History, request_id: RequestId) -> bool:
    """Whether a caller received what does not belong to its own request."""
    chunks = history.chunks.get(request_id, [])
    if any(chunk.chunk_request_id != request_id for chunk in chunks):
        return True
    sent = history.sent.get(request_id)
    ending = history.ending(request_id)
    if isinstance(sent, ServiceSent):
        return (
            isinstance(ending, ServiceAnswered)
            and ending.status < FIRST_NOT_OK_STATUS
            and sent.marker.encode() not in ending.body
        )
    if not _are_in_order(chunks):
        return False
    expected = history.expected(request_id)
    return expected is not None and not expected.startswith(history.text(request_id))


def _are_in_order(chunks: Sequence[ChunkReceived]) -> bool:
    """Whether chunks are numbered 0, 1, … without gap or repeat."""
    return all(chunk.sequence == place for place, chunk in enumerate(chunks))


def check_whole_own_answer(history: History) -> list[Violation]:
    """Check that each caller gets the whole answer to its own request, once."""
    violations: list[Violation] = []
    for request_id, sent in history.sent.items():
        if is_crossed(history, request_id):
            detail = "the caller received what belongs to another request"
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
        if len(history.endings.get(request_id, ())) > 1:
            detail = "the caller received more than one ending"
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
        if is_lost(history, request_id):
            late_s = history.bounds.answer_grace_s
            detail = f"no ending by {late_s} s after the deadline at {sent.deadline_at_s:.3f} s"
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
    return violations


def is_lost(history: History, request_id: RequestId) -> bool:
    """Whether a request had no ending of any kind in time.

    A deadline travels as a duration, so a node that was paused while a request waited for it can
    count only from its own waking, and a request given up meanwhile can have no ending: its caller
    knows that it does not know, as after a broken connection.
    """
    sent = history.sent[request_id]
    latest_s = sent.deadline_at_s + history.bounds.answer_grace_s
    ending = history.ending(request_id)
    if ending is not None and ending.at_s <= latest_s:
        return False
    woke_at_s = max(
        (
            ended_at_s
            for began_at_s, ended_at_s in history.pauses.get(sent.node, ())
            if began_at_s <= latest_s and ended_at_s >= sent.at_s
        ),
        default=None,
    )
    if woke_at_s is None:
        return True
    time_allowed_s = latest_s - sent.at_s
    return ending is not None and ending.at_s > woke_at_s + time_allowed_s


def is_false_not_run(history: History, request_id: RequestId) -> bool:
    """Whether the caller was told "not run" of a request that did run."""
    ending = history.ending(request_id)
    return (
        isinstance(ending, RefusalReceived)
        and ending.run_status is RunStatus.NOT_RUN
        and history.has_run(request_id)
    )


def check_not_run_is_true(history: History) -> list[Violation]:
    """Check that a request refused as "not run" did not run, before or after the refusal."""
    return [
        Violation(NOT_RUN_IS_TRUE, (request_id,), 'refused as "not run" but a back end ran it')
        for request_id in history.sent
        if is_false_not_run(history, request_id)
    ]


def repeated_run_groups(history: History) -> list[tuple[RequestId, ...]]:
    """Return the requests of each unrepeatable piece of work that ran more than once.

    Work is named by tenant, service and idempotency key where there is a key, otherwise by the
    request itself.
    """
    runs: dict[tuple[str, str, str], list[RequestId]] = {}
    for request_id, service_runs in history.service_runs.items():
        sent = history.sent.get(request_id)
        if not isinstance(sent, ServiceSent) or sent.repeatable:
            continue
        work = sent.idempotency_key or request_id
        group = runs.setdefault((sent.tenant, sent.service, work), [])
        group.extend([request_id] * len(service_runs))
    return [tuple(group) for group in runs.values() if len(group) > 1]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that what may not be repeated ran at most once, over all its requests."""
    return [
        Violation(AT_MOST_ONCE, tuple(dict.fromkeys(group)), f"ran {len(group)} times")
        for group in repeated_run_groups(history)
    ]
