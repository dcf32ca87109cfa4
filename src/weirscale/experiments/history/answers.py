"""Rules for what callers receive: complete, ordered and own answers, and correct refusals."""

from collections.abc import Sequence

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import RefusalCode
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

    Chunks must be numbered 0, 1, … without gaps or repeats. No chunk may follow the end of the
    stream, and a stream that ends normally must have a finish reason.
    """
    violations: list[Violation] = []
    for request_id, chunks in history.chunks.items():
        if not _are_in_order(chunks):
            detail = f"received chunks {_shorten([chunk.sequence for chunk in chunks])}"
            violations.append(Violation(STREAM_WHOLE_IN_ORDER, (request_id,), detail))
        ending = history.ending(request_id)
        if ending is not None and chunks[-1].at_s > ending.at_s:
            detail = "a chunk arrived after the end of the stream"
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
    """Return a text with the sequence numbers around the first wrong one."""
    wrong_index = next(index for index, number in enumerate(sequences) if index != number)
    return f"… {sequences[max(0, wrong_index - 2) : wrong_index + 3]} at position {wrong_index}"


def is_truncated(history: History, request_id: RequestId) -> bool:
    """Return whether the received text is a proper prefix of the expected answer."""
    text = history.text(request_id)
    expected = history.expected(request_id) or ""
    return text != expected and expected.startswith(text)


def is_crossed(history: History, request_id: RequestId) -> bool:
    """Return whether a caller received an answer, or a part of one, of another request."""
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
    """Return whether chunks are numbered 0, 1, … without gaps or repeats."""
    return all(chunk.sequence == position for position, chunk in enumerate(chunks))


def check_whole_own_answer(history: History) -> list[Violation]:
    """Check that each caller gets one ending, in time, and nothing of another request."""
    violations: list[Violation] = []
    for request_id, sent in history.sent.items():
        if is_crossed(history, request_id):
            detail = "the caller received content of another request"
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
        if len(history.endings.get(request_id, ())) > 1:
            detail = "the caller received more than one ending"
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
        if is_lost(history, request_id):
            grace_s = history.bounds.answer_grace_s
            detail = (
                f"no ending within {grace_s} s after the deadline at {sent.deadline_at_s:.3f} s"
            )
            violations.append(Violation(WHOLE_OWN_ANSWER, (request_id,), detail))
    return violations


def is_lost(history: History, request_id: RequestId) -> bool:
    """Return whether a request had no ending of any kind in time.

    Deadlines are sent as durations. A node that was paused while a request waited for it therefore
    counts the duration only from its resumption, and the caller may give up before any ending. Such
    a request is not lost: as after a broken connection, its caller does not know the outcome.
    """
    sent = history.sent[request_id]
    latest_s = sent.deadline_at_s + history.bounds.answer_grace_s
    ending = history.ending(request_id)
    if ending is not None and ending.at_s <= latest_s:
        return False
    resumed_at_s = max(
        (
            ended_at_s
            for began_at_s, ended_at_s in history.pauses.get(sent.node, ())
            if began_at_s <= latest_s and ended_at_s >= sent.at_s
        ),
        default=None,
    )
    if resumed_at_s is None:
        return True
    allowed_s = latest_s - sent.at_s
    return ending is not None and ending.at_s > resumed_at_s + allowed_s


def is_false_not_run(history: History, request_id: RequestId) -> bool:
    """Return whether a request was refused as "not run" although it ran."""
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
    """Return the requests of each non-repeatable operation that ran more than once.

    Operations are identified by tenant, service and idempotency key, or by the request id where
    there is no key.
    """
    runs: dict[tuple[str, str, str], list[RequestId]] = {}
    for request_id, service_runs in history.service_runs.items():
        sent = history.sent.get(request_id)
        if not isinstance(sent, ServiceSent) or sent.repeatable:
            continue
        group = runs.setdefault(_operation(sent), [])
        group.extend([request_id] * len(service_runs))
    return [tuple(group) for group in runs.values() if len(group) > 1]


def is_refused_repeat(history: History, request_id: RequestId) -> bool:
    """Return whether a request was refused as the repeat of one that was answered.

    The refusal is correct while the first request may still run, and once it has run.
    """
    ending, sent = history.ending(request_id), history.sent.get(request_id)
    if not (isinstance(ending, RefusalReceived) and isinstance(sent, ServiceSent)):
        return False
    if ending.code is not RefusalCode.DUPLICATE_REQUEST or sent.idempotency_key is None:
        return False
    return any(
        isinstance(other, ServiceSent)
        and _operation(other) == _operation(sent)
        and isinstance(history.ending(other.request_id), ServiceAnswered)
        for other in history.sent.values()
    )


def _operation(sent: ServiceSent) -> tuple[str, str, str]:
    return sent.tenant, sent.service, sent.idempotency_key or sent.request_id


def check_at_most_once(history: History) -> list[Violation]:
    """Check that each non-repeatable operation ran at most once over all its requests."""
    return [
        Violation(AT_MOST_ONCE, tuple(dict.fromkeys(group)), f"ran {len(group)} times")
        for group in repeated_run_groups(history)
    ]
