"""Rules on streams that callers take up, and on the service versions that made their events."""

from collections import defaultdict
from collections.abc import Iterator

from bench.fault_soak.evidence import Evidence
from bench.fault_soak.history import Outcome, RequestEnded, RequestId, RequestKind, RequestSent
from bench.fault_soak.violations import Rule, Violation

HTTP_OK = 200
MIN_TAKE_UPS = 12
MIN_RATE_SHARE = 0.5
"""Streams taken up go on at least at this share of the rate at which new ones begin."""

VERSION_SERVES_S = 3.0
"""A back end counts as serving if it began a run within this time before or after."""

MIN_SERVING = 2
"""Back ends of a stream's version that must serve for its take-up to count."""


def streams_have_one_version(evidence: Evidence) -> Iterator[Violation]:
    """Check that all events of a stream, over all tries of its caller, are of one version."""
    versions: dict[RequestId, set[str]] = defaultdict(set)
    for ended in evidence.ended:
        sent = evidence.sent[ended.request]
        stream = sent.resumes or sent.request
        before = len(versions[stream])
        versions[stream] |= _versions(evidence, ended)
        if len(versions[stream]) > max(1, before):
            explanation = f"events of the versions {', '.join(sorted(versions[stream]))}"
            yield Violation(Rule.STREAMS_HAVE_ONE_VERSION, ended.at_s, ended.request, explanation)


def _versions(evidence: Evidence, ended: RequestEnded) -> set[str]:
    """Return the service versions of the back ends that made the events of one try."""
    software = {
        run.instance: run.software for run in evidence.runs.get(ended.request, ()) if run.software
    }
    instances = {origin.rpartition(" ")[2] for origin in ended.event_origins}
    return {version for instance, version in software.items() if instance in instances}


def taken_up_streams_go_on(evidence: Evidence) -> Iterator[Violation]:
    """Check that streams taken up go on at least half as often as new ones begin.

    Only tries at nodes in contact count, and only take-ups whose version has two serving back ends.
    """
    began, went_on = [], []
    for ended in evidence.ended:
        sent = evidence.sent[ended.request]
        if not _is_counted(evidence, sent, ended):
            continue
        if sent.resumes is None:
            began.append(bool(ended.event_numbers))
        elif _has_serving_back_ends(evidence, sent):
            went_on.append(_goes_on(ended))
    if len(went_on) < MIN_TAKE_UPS or not began:
        return
    if sum(went_on) / len(went_on) < MIN_RATE_SHARE * sum(began) / len(began):
        explanation = (
            f"{sum(went_on)} of {len(went_on)} streams taken up went on, "
            f"{sum(began)} of {len(began)} new ones began"
        )
        yield Violation(
            Rule.TAKEN_UP_STREAMS_GO_ON, evidence.ended[-1].at_s, "streams", explanation
        )


def _is_counted(evidence: Evidence, sent: RequestSent, ended: RequestEnded) -> bool:
    if sent.kind is not RequestKind.RESUMABLE_STREAM or ended.outcome is Outcome.LEFT:
        return False
    return evidence.is_in_contact(sent.node, sent.at_s, ended.at_s)


def _goes_on(ended: RequestEnded) -> bool:
    """Return whether a take-up brought events, or the end of a stream that had them all."""
    is_end = ended.outcome is Outcome.ANSWERED and ended.status == HTTP_OK
    return bool(ended.event_numbers) or is_end


def _has_serving_back_ends(evidence: Evidence, sent: RequestSent) -> bool:
    """Return whether two back ends of the version that began a stream serve when it is taken up."""
    first = sent.resumes or sent.request
    versions = {run.software for run in evidence.runs.get(first, ())}
    if len(versions) != 1:
        return False
    serving = {
        run.instance
        for runs in evidence.runs.values()
        for run in runs
        if run.software in versions and abs(run.at_s - sent.at_s) <= VERSION_SERVES_S
    }
    return len(serving) >= MIN_SERVING
