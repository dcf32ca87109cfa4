"""Synthetic histories of a soak test: a valid one, and changes that violate or just obey a rule."""

import msgspec

from bench.fault_soak.history import (
    AnswerSent,
    BackEndEnded,
    BrittleFell,
    BrittlePeriod,
    ConfigurationAcknowledged,
    Disturbance,
    Disturbed,
    FatalCrash,
    FatalPeriod,
    FaultsEnded,
    FavoredPeriod,
    LeavingSaid,
    LimitChanged,
    LimitStated,
    NodeEnded,
    NodeErrors,
    NodeListens,
    NodeSignalled,
    NodeSlow,
    NodeStarted,
    OrderTaken,
    Outcome,
    PathsLost,
    RequestEnded,
    RequestKind,
    RequestSent,
    RestAsked,
    RunBegan,
    RunBroken,
    SignalName,
    WeightsNamed,
)

NODE = "node-1"
OTHER_NODE = "node-2"
ENGINE = "lm-1"
SERVICE = "orders-1"
OTHER_SERVICE = "orders-2"
KEY_1, KEY_2, KEY_3 = "key-1", "key-2", "key-3"


def valid_history():
    """Return a valid history with two successive configurations and weight versions."""
    return [
        configured(0.0, 1, KEY_1, KEY_2),
        WeightsNamed(at_s=0.0, version=1),
        NodeStarted(at_s=1.0, node=NODE),
        NodeListens(at_s=1.1, node=NODE),
        *answered(10.0, "q1"),
        *streamed(11.0, "q2"),
        configured(20.0, 2, KEY_2, KEY_3),
        WeightsNamed(at_s=20.0, version=2),
        *answered_marker(24.0, "q3", 2),
        FaultsEnded(at_s=50.0),
        *answered(51.0, "q4"),
    ]


def configured(at_s, version, *keys):
    return ConfigurationAcknowledged(
        at_s=at_s, version=version, marker=f"/marker-{version}/", keys=keys
    )


def sent(at_s, request, kind=RequestKind.AT_MOST_ONCE, path="/o/1", **fields):
    all_fields = {"body": "x", "deadline_s": 4.0, "node": NODE} | fields
    return RequestSent(at_s=at_s, request=request, kind=kind, path=path, **all_fields)


def ran(at_s, request, instance=SERVICE, path="/o/1", body="x", **fields):
    service = instance.rpartition("-")[0]
    return RunBegan(
        at_s=at_s,
        request=request,
        instance=instance,
        service=service,
        path=path,
        body=body,
        **fields,
    )


def limit_stated(at_s, limit_per_s, stated_after_s):
    """Return the records of a limit that a back end states to the node in a later answer."""
    return [
        LimitChanged(at_s=at_s, instance=SERVICE, limit_per_s=limit_per_s),
        LimitStated(at_s=at_s + stated_after_s, request="q1", instance=SERVICE),
    ]


def answered_burst(at_s, num):
    """Return `num` answered requests at intervals of 0.1 s."""
    return [
        record for number in range(num) for record in answered(at_s + 0.1 * number, f"ql{number}")
    ]


def ended(at_s, request, outcome=Outcome.ANSWERED, status=200, instance=SERVICE, **fields):
    defaults = {
        "signature": f"seal-{instance}",
        "named": request,
        "body": f"done by {instance} for {request}",
    }
    return RequestEnded(
        at_s=at_s, request=request, outcome=outcome, status=status, **defaults | fields
    )


def refused(at_s, request, status):
    return ended(at_s, request, status=status, signature=None, body="")


def broken_off(at_s, request):
    return ended(at_s, request, Outcome.BROKEN, 0, signature=None, named=None, body="")


def answered(at_s, request, kind=RequestKind.AT_MOST_ONCE, path="/o/1", key=None, **fields):
    tenant = None if key is None else "soak-tenant"
    return [
        sent(at_s, request, kind, path, key=key, **fields),
        ran(at_s + 0.1, request, path=path, tenant=tenant),
        ended(at_s + 0.2, request),
    ]


def answered_by_other(at_s, request, **fields):
    """Return a request that the other back end answers."""
    return [
        sent(at_s, request, **fields),
        ran(at_s + 0.1, request, OTHER_SERVICE),
        ended(at_s + 0.2, request, instance=OTHER_SERVICE),
    ]


def answered_marker(at_s, request, version, **fields):
    return answered(at_s, request, RequestKind.REPEATABLE, f"/marker-{version}/", **fields)


def unknown_marker(at_s, request, version):
    path = f"/marker-{version}/"
    return [sent(at_s, request, RequestKind.REPEATABLE, path), refused(at_s + 0.1, request, 404)]


def streamed(
    at_s,
    request,
    kind=RequestKind.STREAM,
    numbers=(1, 2, 3, 4, 5),
    origins=None,
    weights=1,
    outcome=Outcome.ANSWERED,
):
    origins = origins or [f"{request} {ENGINE}"] * len(numbers)
    return [
        sent(at_s, request, kind, "/f/1"),
        ran(at_s + 0.1, request, ENGINE, "/f/1", weights=weights),
        ended(
            at_s + 0.5, request, outcome, 200, ENGINE, body="",
            event_numbers=tuple(numbers), event_origins=tuple(origins),
        ),
    ]  # fmt: skip


def two_versions_in_one_answer(at_s):
    """Return a resumed stream whose second back end is of another service version."""
    request = "qx"
    began, ran_first, end = streamed(
        at_s, request, RequestKind.RESUMABLE_STREAM,
        origins=[f"{request} {ENGINE}"] * 2 + [f"{request} lm-2"] * 3, weights=2,
    )  # fmt: skip
    ran_second = ran(at_s + 0.3, request, "lm-2", "/f/1", weights=2, software="v2")
    return [began, msgspec.structs.replace(ran_first, software="v1"), ran_second, end]


def taken_up(at_s, version, number=0):
    """Return a stream of v1 that breaks off, and its take-up at the other node.

    The take-up goes on at a back end of `version`, or is refused if that is None.
    """
    first, second = f"qa{number}", f"qb{number}"
    began, ran_first, end = streamed(
        at_s, first, RequestKind.RESUMABLE_STREAM, (1, 2), weights=2, outcome=Outcome.BROKEN
    )
    resumed = sent(
        at_s + 1.0, second, RequestKind.RESUMABLE_STREAM, "/f/1",
        node=OTHER_NODE, resumes=first, after=2,
    )  # fmt: skip
    serving = ran(at_s, f"qc{number}", "lm-3", "/f/1", weights=2, software="v1")
    other = sent(at_s - 0.1, f"qc{number}", RequestKind.RESUMABLE_STREAM, "/f/1")
    records = [
        NodeStarted(at_s=1.0, node=OTHER_NODE),
        *answered(51.5, f"qd{number}", node=OTHER_NODE),
        began, msgspec.structs.replace(ran_first, software="v1"), end, resumed, other, serving,
    ]  # fmt: skip
    if version is None:
        return [*records, refused(at_s + 1.1, second, 503)]
    origins = (f"{second} lm-2",) * 3
    return [
        *records,
        ran(at_s + 1.1, second, "lm-2", "/f/1", weights=2, software=version),
        ended(
            at_s + 1.5, second, instance="lm-2", body="",
            event_numbers=(3, 4, 5), event_origins=origins,
        ),
    ]  # fmt: skip


def signalled(at_s, signal, **fields):
    return NodeSignalled(at_s=at_s, node=NODE, signal=signal, **fields)


def stopped(at_s, exit_code=0, lasts_s=3.0):
    return [
        signalled(at_s, SignalName.TERMINATE),
        NodeEnded(at_s=at_s + lasts_s, node=NODE, exit_code=exit_code),
        NodeStarted(at_s=at_s + lasts_s + 0.3, node=NODE),
    ]


def broken_request(at_s, lasts_s=1.0, has_run=True):
    runs = [ran(at_s + 0.1, "qx")] if has_run else []
    return [sent(at_s, "qx"), *runs, broken_off(at_s + lasts_s, "qx")]


def cut_after_whole(at_s, is_unframed=True, kind=RequestKind.AT_MOST_ONCE, deadline_s=4.0):
    """Return a request whose back end sent a whole answer and whose caller got a part of it."""
    return [
        sent(at_s, "qx", kind, deadline_s=deadline_s),
        ran(at_s + 0.1, "qx"),
        AnswerSent(at_s=at_s + 0.5, request="qx", instance=SERVICE, is_unframed=is_unframed),
        broken_off(at_s + 1.5, "qx"),
    ]


def disturbed(at_s, until_s, what):
    return Disturbed(at_s=at_s, until_s=until_s, what=what)


def lost_paths(at_s, until_s, node, num_refused, num_answered):
    """Return the records of a node without paths, and of requests to it in this time.

    Another node, which has its paths, answers as many requests meanwhile.
    """
    records = [
        NodeStarted(at_s=2.0, node=OTHER_NODE),
        *answered(51.0, "q5", node=OTHER_NODE),
        PathsLost(at_s=at_s, node=node, loss="silent", until_s=until_s),
    ]
    first_s = at_s + 3.1
    for number in range(num_refused):
        name = f"qr{number}"
        request_s = first_s + 0.01 * number
        records += [sent(request_s, name, node=node), refused(request_s + 0.005, name, 503)]
    for number in range(num_answered):
        records += answered(first_s + 0.01 * number, f"qa{number}", node=node)
    for number in range(num_refused + num_answered):
        records += answered(first_s + 0.01 * number, f"qo{number}", node=OTHER_NODE)
    return records


def fallen(num, from_s):
    """Return the records of a brittle period in which back ends end."""
    period = BrittlePeriod(at_s=30.0, service="orders", num_back_ends=4, until_s=40.0)
    falls = [
        BrittleFell(at_s=from_s + number, service="orders", instance=f"o-{number}")
        for number in range(num)
    ]
    return [period, *falls]


def fatal(num_late, num_crashes=5, num_refused=0, num_answered=0):
    """Return the records of a fatal block, of late runs with it and of sound streams meanwhile."""
    blocks = {"kind": RequestKind.STREAM, "path": "/f/1"}
    records = [FatalPeriod(at_s=30.0, block="dead", until_s=45.0)]
    for number in range(num_crashes):
        records.append(FatalCrash(at_s=30.5 + number / 10, block="dead", instance=f"lm-{number}"))
    for number in range(num_late):
        name, at_s = f"qf{number}", 36.0 + number / 10
        records += [
            sent(at_s, name, blocks=("aa", "dead"), **blocks),
            ran(at_s + 0.01, name, ENGINE, path="/f/1"),
        ]
    for number in range(30):
        records += _sound_stream(26.0 + number / 10, f"qu{number}", 200, blocks)
    for number in range(num_refused + num_answered):
        status = 503 if number < num_refused else 200
        records += _sound_stream(38.0 + number / 10, f"qs{number}", status, blocks)
    return records


def _sound_stream(at_s, name, status, fields):
    if status != 200:
        return [sent(at_s, name, blocks=("aa",), **fields), refused(at_s + 0.01, name, status)]
    first, run, end = streamed(at_s, name)
    return [
        msgspec.structs.replace(first, blocks=("aa",)),
        msgspec.structs.replace(run, weights=2),
        end,
    ]


def favored(num_others, num_answered, is_unread=False):
    """Return the records of a node with all new connections, which does not answer all requests."""
    records = [FavoredPeriod(at_s=30.0, node=NODE, until_s=40.0)]
    for number in range(30):
        records += answered(26.0 + number / 10, f"qu{number}")
    for number in range(num_others):
        name, at_s = f"qn{number}", 34.0 + number / 10
        if is_unread:
            end = RequestEnded(at_s=at_s + 0.01, request=name, outcome=Outcome.BROKEN)
        else:
            end = refused(at_s + 0.01, name, 503)
        records += [sent(at_s, name), end]
    for number in range(num_answered):
        records += answered(34.05 + number / 10, f"qa{number}")
    return records


CHANGES = {
    # Answers.
    "an unsigned success": [sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", signature=None)],
    "the signature of a back end that did not run it": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", instance="orders-2"),
    ],
    "a truncated body": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", body="done by orders-1"),
    ],
    "an answer that names another request": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", named="q1"),
    ],
    "a success that no back end ran": [sent(30.0, "qx"), ended(30.2, "qx")],
    "an error of the node itself": [sent(30.0, "qx"), refused(30.2, "qx", 502)],
    # Repeats and refusals.
    "two runs of a request that may run once": [
        *answered(30.0, "qx"), ran(30.15, "qx", "orders-2"),
    ],
    "two runs of a repeatable request": [
        *answered(30.0, "qx", RequestKind.REPEATABLE), ran(30.05, "qx", "orders-2"),
    ],
    "two runs of a stream": [
        *streamed(30.0, "qx", weights=2), ran(30.4, "qx", "lm-2", "/f/1", weights=2),
    ],
    "a refusal of a request that had run": [
        sent(30.0, "qx"), ran(30.1, "qx"), refused(30.2, "qx", 503),
    ],
    "a refusal of a request that runs later": [
        sent(30.0, "qx"), refused(30.2, "qx", 429), ran(31.0, "qx"),
    ],
    "a refusal of a request that never runs": [sent(30.0, "qx"), refused(30.2, "qx", 503)],
    "a refusal of a repeatable request that had run": [
        sent(30.0, "qx", RequestKind.REPEATABLE), ran(30.1, "qx"), refused(30.2, "qx", 503),
    ],
    # Streams.
    "a stream with a missing event": streamed(30.0, "qx", numbers=(1, 2, 4, 5), weights=2),
    "a stream with a duplicate event": streamed(30.0, "qx", numbers=(1, 2, 2, 3, 4, 5), weights=2),
    "a stream that ends normally too early": streamed(30.0, "qx", numbers=(1, 2, 3), weights=2),
    "a stream that breaks off": streamed(
        30.0, "qx", numbers=(1, 2, 3), outcome=Outcome.BROKEN, weights=2
    ),
    "a stream with another request's event": streamed(
        30.0, "qx", origins=["qx lm-1"] * 4 + ["q1 lm-1"], weights=2
    ),
    "events of two runs in one stream": streamed(
        30.0, "qx", origins=["qx lm-1"] * 2 + ["qx lm-2"] * 3, weights=2
    ),
    "a stream of two versions in one answer": two_versions_in_one_answer(30.0),
    "a stream that another version continues at another node": taken_up(30.0, "v2"),
    "a stream that its version continues at another node": taken_up(30.0, "v1"),
    "streams taken up that are refused": [
        record for number in range(14) for record in taken_up(30.0 + number / 10, None, number)
    ],
    "eleven streams taken up that are refused": [
        record for number in range(11) for record in taken_up(30.0 + number / 10, None, number)
    ],
    "a resumed stream of two runs": streamed(
        30.0, "qx", RequestKind.RESUMABLE_STREAM, origins=["qx lm-1"] * 2 + ["qx lm-2"] * 3,
        weights=2,
    ),
    # Ends of answers.
    "a whole unframed answer that is cut": cut_after_whole(30.0),
    "a whole unframed answer that becomes a failure": [
        *cut_after_whole(30.0)[:3], ended(31.5, "qx", status=502, instance=None),
    ],
    "a whole answer in chunks that is cut": cut_after_whole(30.0, is_unframed=False),
    "a whole unframed answer that is cut as its back end ends": [
        *cut_after_whole(30.0), BackEndEnded(at_s=30.6, instance=SERVICE),
    ],
    "a whole unframed answer that is cut after another back end ended": [
        *cut_after_whole(30.0), BackEndEnded(at_s=30.6, instance=OTHER_SERVICE),
    ],
    "a whole unframed answer that is cut at a paused node": [
        *cut_after_whole(30.0), signalled(30.2, SignalName.PAUSE),
        signalled(31.2, SignalName.CONTINUE),
    ],
    "a whole unframed answer that is cut at its deadline": cut_after_whole(30.0, deadline_s=1.6),
    "a whole unframed answer that is cut while the soak test was late": [
        *cut_after_whole(30.0), disturbed(31.2, 31.5, Disturbance.HARNESS),
    ],
    "a whole unframed answer that is cut long after the soak test was late": [
        *cut_after_whole(30.0), disturbed(28.0, 28.3, Disturbance.HARNESS),
    ],
    "a whole unframed answer that is cut while its back end rests": [
        *cut_after_whole(30.0), RestAsked(at_s=30.4, request="q1", instance=SERVICE, rest_s=1.5),
    ],
    # Stops.
    "a stop that cuts off a run": [*stopped(30.0), *broken_request(31.0)],
    "a stop that cuts off a request that the node has held": [
        *stopped(30.0), *broken_request(31.0, has_run=False),
    ],
    "a stop that crosses a request on the connection": [
        *stopped(30.0), *broken_request(32.2, lasts_s=0.05, has_run=False),
    ],
    "a stop with a back end that broke off its answer before": [
        *stopped(30.0), *broken_request(31.0),
        RunBroken(at_s=31.5, request="qx", instance=SERVICE),
    ],
    "a stop after which a back end breaks off its answer": [
        *stopped(30.0), *broken_request(31.0),
        RunBroken(at_s=33.0, request="qx", instance=SERVICE),
    ],
    "a stop of a paused node that cuts off a run": [
        *stopped(30.0), signalled(30.5, SignalName.PAUSE), signalled(31.2, SignalName.CONTINUE),
        *broken_request(31.0),
    ],
    "a stop that ends with SIGKILL and cuts off a new run": [
        signalled(30.0, SignalName.TERMINATE), *broken_request(35.0, lasts_s=3.0),
        signalled(37.9, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a node that is killed during a run": [
        signalled(31.5, SignalName.KILL), NodeEnded(at_s=31.6, node=NODE, exit_code=-9),
        NodeStarted(at_s=32.0, node=NODE), *broken_request(31.0),
    ],
    "a stop that needs SIGKILL": [
        signalled(30.0, SignalName.TERMINATE),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop with a failing exit code": stopped(30.0, exit_code=1),
    "a stop while the soak test was delayed": [
        signalled(30.0, SignalName.TERMINATE),
        disturbed(31.0, 33.0, Disturbance.HARNESS),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop of a slow node": [
        signalled(30.0, SignalName.TERMINATE), NodeSlow(at_s=31.0, node=NODE, until_s=33.0),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop before any request of the process ran": [
        *stopped(30.0),
        signalled(33.4, SignalName.TERMINATE),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-15), NodeStarted(at_s=33.8, node=NODE),
    ],
    # Requests that run.
    "a run of a request that no caller sent": [ran(30.0, "qx")],
    "a run before its request": [ran(29.0, "qx"), *answered(30.0, "qx", RequestKind.REPEATABLE)],
    "a run with another body": [
        sent(30.0, "qx"), ran(30.1, "qx", body="xy"), ended(30.2, "qx"),
    ],
    "a run with another query": [
        sent(30.0, "qx"), ran(30.1, "qx", path="/o/1?a=b"), ended(30.2, "qx"),
    ],
    "a run with the caller's key": [
        sent(30.0, "qx"), ran(30.1, "qx", has_key=True), ended(30.2, "qx"),
    ],
    "a run for another tenant": [
        sent(30.0, "qx", key=KEY_3), ran(30.1, "qx", tenant="another"), ended(30.2, "qx"),
    ],
    # Configurations.
    "an older configuration after a newer one": [
        *answered_marker(21.0, "qx", 2), *answered_marker(21.3, "qy", 1),
    ],
    "an older configuration concurrent with a newer one": [
        *answered_marker(21.0, "qx", 2), *answered_marker(21.1, "qy", 1),
    ],
    "an older configuration at a restarted node": [
        *answered_marker(20.2, "qx", 2), *stopped(20.5, lasts_s=0.5),
        *answered_marker(21.5, "qy", 1),
    ],
    "a removed route that still works": answered_marker(22.5, "qx", 1),
    "a removed route that works for a moment": answered_marker(21.5, "qx", 1),
    "a new route that is unknown": unknown_marker(22.5, "qx", 2),
    "a new route that is unknown for a moment": unknown_marker(21.5, "qx", 2),
    "a new route that is unknown at a paused node": [
        *unknown_marker(22.5, "qx", 2),
        signalled(21.0, SignalName.PAUSE), signalled(22.0, SignalName.CONTINUE),
    ],
    "a new route that is unknown while the store is down": [
        *unknown_marker(22.5, "qx", 2), disturbed(20.1, 24.0, Disturbance.STORE),
    ],
    "a new route that is unknown at a slow node": [
        *unknown_marker(22.5, "qx", 2), NodeSlow(at_s=21.0, node=NODE, until_s=22.0),
    ],
    "a removed key": answered(25.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1),
    "a key that has just been removed": answered(
        24.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1,
    ),
    "a removed key at a node that was paused": [
        *answered(25.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1),
        signalled(21.0, SignalName.PAUSE), signalled(25.4, SignalName.CONTINUE),
    ],
    # Weights.
    "a run on old weights": streamed(28.5, "qx", weights=1),
    "a run on old weights just after newer ones were named": streamed(27.5, "qx", weights=1),
    "a run on old weights after newer ones were named twice": [
        WeightsNamed(at_s=26.0, version=3), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights after the store was down": [
        disturbed(21.0, 22.0, Disturbance.STORE), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights long after the store was down": [
        disturbed(21.0, 22.0, Disturbance.STORE), *streamed(33.5, "qx", weights=1),
    ],
    "a run on old weights after connections to the store were reset": [
        disturbed(21.0, 21.0, Disturbance.CONNECTIONS), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights after a short delay of the soak test": [
        disturbed(27.0, 27.3, Disturbance.HARNESS), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights after a long delay of the soak test": [
        disturbed(27.0, 27.6, Disturbance.HARNESS), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights after a pause": [
        signalled(21.0, SignalName.PAUSE), signalled(24.0, SignalName.CONTINUE),
        *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights just after a pause": [
        signalled(21.0, SignalName.PAUSE), signalled(27.0, SignalName.CONTINUE),
        *streamed(28.5, "qx", weights=1),
    ],
    # Orders, processes.
    "a run on old weights that a lost path held up": [
        PathsLost(at_s=27.0, node=NODE, loss="silent", until_s=28.9),
        *streamed(29.0, "qx", weights=1),
    ],
    "a run on old weights at a node while another has no paths": [
        PathsLost(at_s=27.0, node=OTHER_NODE, loss="silent", until_s=28.9),
        *streamed(29.0, "qx", weights=1),
    ],
    "two lease holders with the same fencing token": [
        OrderTaken(at_s=30.0, instance=ENGINE, holder="node-1", fencing_token=7),
        OrderTaken(at_s=31.0, instance=ENGINE, holder="node-2", fencing_token=7),
    ],
    "two lease holders with successive fencing tokens": [
        OrderTaken(at_s=30.0, instance=ENGINE, holder="node-1", fencing_token=7),
        OrderTaken(at_s=31.0, instance=ENGINE, holder="node-2", fencing_token=8),
    ],
    "a run at a back end that announced its draining": [
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        *answered(32.5, "qx"),
    ],
    "a run at a back end that has just announced its draining": [
        LeavingSaid(at_s=30.0, request="q1", instance=OTHER_SERVICE),
        *answered_by_other(31.9, "qx"),
    ],
    "a run from another node at a draining back end": [
        LeavingSaid(at_s=30.0, request="q1", instance=OTHER_SERVICE),
        NodeStarted(at_s=25.0, node="node-2"),
        *answered_by_other(32.5, "qx", node="node-2"),
        *answered_by_other(52.0, "qy", node="node-2"),
    ],
    "a run at a back end that announced its draining while the store was down": [
        disturbed(29.0, 40.0, Disturbance.STORE),
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        *answered(32.5, "qx"),
    ],
    "a run at a draining back end after a pause of the node": [
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        signalled(31.0, SignalName.PAUSE),
        signalled(32.0, SignalName.CONTINUE),
        *answered(32.5, "qx"),
    ],
    "three requests during a rest": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *answered(30.6, "qx"),
        *answered(31.0, "qy"),
        *answered(31.5, "qz"),
    ],
    "two requests during a rest": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *answered(30.6, "qx"),
        *answered(31.0, "qy"),
    ],
    "three requests just after a rest was asked for": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *answered(30.1, "qx"),
        *answered(30.2, "qy"),
        *answered(30.3, "qz"),
    ],
    "three requests during a rest after a restart of the node": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        signalled(30.3, SignalName.KILL),
        NodeEnded(at_s=30.4, node=NODE, exit_code=-9),
        NodeStarted(at_s=30.5, node=NODE),
        *answered(31.0, "qx"),
        *answered(31.2, "qy"),
        *answered(31.4, "qz"),
    ],
    "more requests than a limit allows": [
        *limit_stated(30.0, 1.0, 1.0), *answered_burst(34.0, 12),
    ],
    "as many requests as a limit allows": [
        *limit_stated(30.0, 1.0, 1.0), *answered_burst(34.0, 11),
    ],
    "more requests than a limit allows just after its first statement": [
        *limit_stated(30.0, 1.0, 1.0), *answered_burst(31.5, 12),
    ],
    "more requests than a limit allows after it has ended": [
        *limit_stated(30.0, 1.0, 1.0),
        LimitChanged(at_s=33.9, instance=SERVICE, limit_per_s=None),
        *answered_burst(34.0, 12),
    ],
    "more requests than a limit allows from a node that the limit was not stated to": [
        LimitChanged(at_s=30.0, instance=SERVICE, limit_per_s=1.0), *answered_burst(34.0, 12),
    ],
    "more requests than a limit allows after a pause of the node": [
        *limit_stated(30.0, 1.0, 1.0),
        signalled(32.0, SignalName.PAUSE),
        signalled(33.0, SignalName.CONTINUE),
        *answered_burst(34.0, 12),
    ],
    "a node without paths that refuses most requests": lost_paths(30.0, 38.0, NODE, 40, 20),
    "a node without paths that answers two thirds of its requests": lost_paths(
        30.0, 38.0, NODE, 20, 40
    ),
    "a node without paths that refuses ten requests": lost_paths(30.0, 38.0, NODE, 10, 0),
    "a node that refuses most requests just after its paths were lost": lost_paths(
        30.0, 33.0, NODE, 40, 20
    ),
    "nodes that refuse most requests while none has paths": [
        *lost_paths(30.0, 38.0, NODE, 40, 20),
        PathsLost(at_s=30.0, node=OTHER_NODE, loss="silent", until_s=38.0),
    ],
    "a node without paths that refuses most requests while the only other one stops": [
        *lost_paths(30.0, 38.0, NODE, 40, 20),
        NodeSignalled(at_s=33.0, node=OTHER_NODE, signal=SignalName.TERMINATE),
    ],
    "four late runs with a fatal block": fatal(4),
    "three late runs with a fatal block": fatal(3),
    "four late runs with a fatal block after four crashes": fatal(4, num_crashes=4),
    "sound streams that are refused while a fatal block is known": fatal(0, num_refused=30),
    "a third of the sound streams that are refused while a fatal block is known": fatal(
        0, num_refused=10, num_answered=20
    ),
    "a node with all new connections that refuses most requests": favored(20, 10),
    "a node with all new connections that answers three quarters": favored(7, 23),
    "a node with all new connections that closes most unread": favored(20, 20, is_unread=True),
    "three brittle back ends that end": fallen(3, 33.5),
    "two brittle back ends that end": fallen(2, 33.5),
    "brittle back ends that end just after they first said so": fallen(3, 30.5),
    "a process that ends unexpectedly": [
        NodeEnded(at_s=30.0, node=NODE, exit_code=1), NodeStarted(at_s=30.3, node=NODE),
    ],
    "a process that SIGHUP ends after it listened": [
        signalled(29.9, SignalName.RELOAD), NodeEnded(at_s=30.0, node=NODE, exit_code=-1),
        NodeStarted(at_s=30.3, node=NODE),
    ],
    "a process that SIGHUP ends before it listens": [
        *stopped(30.0), signalled(33.4, SignalName.RELOAD),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-1), NodeStarted(at_s=33.8, node=NODE),
    ],
    "a process that SIGHUP ends just after it listened": [
        *stopped(30.0), NodeListens(at_s=33.35, node=NODE), signalled(33.4, SignalName.RELOAD),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-1), NodeStarted(at_s=33.8, node=NODE),
    ],
    "a process that is killed": [
        signalled(29.9, SignalName.KILL), NodeEnded(at_s=30.0, node=NODE, exit_code=-9),
        NodeStarted(at_s=30.3, node=NODE),
    ],
    "an unexpected error in a log": [NodeErrors(at_s=60.0, node=NODE, error="KeyError: 'x'")],
    "a node that never serves again": [NodeStarted(at_s=2.0, node="node-2")],
    "a node that serves nothing while the soak test is delayed": [
        NodeStarted(at_s=2.0, node="node-2"), disturbed(60.0, 60.8, Disturbance.HARNESS),
    ],
    "nothing": [],
}  # fmt: skip
