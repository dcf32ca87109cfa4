"""Made-up histories of a soak: one that keeps every rule, and changes that break one or just don't."""

from bench.fault_soak.history import (
    ConfigurationAcknowledged,
    Disturbance,
    Disturbed,
    FaultsEnded,
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
ENGINE = "lm-1"
SERVICE = "orders-1"
OTHER_SERVICE = "orders-2"
KEY_1, KEY_2, KEY_3 = "key-1", "key-2", "key-3"


def sound():
    """Return a history in which two configurations and weights follow one another."""
    return [
        configured(0.0, 1, KEY_1, KEY_2),
        WeightsNamed(at_s=0.0, version=1),
        NodeStarted(at_s=1.0, node=NODE),
        NodeListens(at_s=1.1, node=NODE),
        *plain(10.0, "q1"),
        *streamed(11.0, "q2"),
        configured(20.0, 2, KEY_2, KEY_3),
        WeightsNamed(at_s=20.0, version=2),
        *marker(24.0, "q3", 2),
        FaultsEnded(at_s=50.0),
        *plain(51.0, "q4"),
    ]


def configured(at_s, version, *keys):
    return ConfigurationAcknowledged(
        at_s=at_s, version=version, marker=f"/marker-{version}/", keys=keys
    )


def sent(at_s, request, kind=RequestKind.AT_MOST_ONCE, path="/o/1", **more):
    fields = {"body": "x", "deadline_s": 4.0, "node": NODE} | more
    return RequestSent(at_s=at_s, request=request, kind=kind, path=path, **fields)


def ran(at_s, request, instance=SERVICE, path="/o/1", body="x", **more):
    service = instance.rpartition("-")[0]
    return RunBegan(
        at_s=at_s, request=request, instance=instance, service=service, path=path, body=body, **more
    )


def limited(at_s, limit_per_s, told_after_s):
    """Return that a back end states a limit, and tells the node of it in an answer."""
    return [
        LimitChanged(at_s=at_s, instance=SERVICE, limit_per_s=limit_per_s),
        LimitStated(at_s=at_s + told_after_s, request="q1", instance=SERVICE),
    ]


def many(at_s, num):
    """Return requests that come close together."""
    return [one for number in range(num) for one in plain(at_s + 0.1 * number, f"ql{number}")]


def ended(at_s, request, outcome=Outcome.ANSWERED, status=200, instance=SERVICE, **more):
    fields = {
        "signature": f"seal-{instance}",
        "named": request,
        "body": f"done by {instance} for {request}",
    }
    return RequestEnded(at_s=at_s, request=request, outcome=outcome, status=status, **fields | more)


def refused(at_s, request, status):
    return ended(at_s, request, status=status, signature=None, body="")


def cut(at_s, request):
    return ended(at_s, request, Outcome.BROKEN, 0, signature=None, named=None, body="")


def plain(at_s, request, kind=RequestKind.AT_MOST_ONCE, path="/o/1", key=None, **more):
    tenant = None if key is None else "soak-tenant"
    return [
        sent(at_s, request, kind, path, key=key, **more),
        ran(at_s + 0.1, request, path=path, tenant=tenant),
        ended(at_s + 0.2, request),
    ]


def at_other(at_s, request, **more):
    """Return a request that another back end answers."""
    return [
        sent(at_s, request, **more),
        ran(at_s + 0.1, request, OTHER_SERVICE),
        ended(at_s + 0.2, request, instance=OTHER_SERVICE),
    ]


def marker(at_s, request, version, **more):
    return plain(at_s, request, RequestKind.REPEATABLE, f"/marker-{version}/", **more)


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


def signalled(at_s, signal, **more):
    return NodeSignalled(at_s=at_s, node=NODE, signal=signal, **more)


def stopped(at_s, exit_code=0, lasts_s=3.0):
    return [
        signalled(at_s, SignalName.TERMINATE),
        NodeEnded(at_s=at_s + lasts_s, node=NODE, exit_code=exit_code),
        NodeStarted(at_s=at_s + lasts_s + 0.3, node=NODE),
    ]


def cut_request(at_s, lasts_s=1.0, has_run=True):
    runs = [ran(at_s + 0.1, "qx")] if has_run else []
    return [sent(at_s, "qx"), *runs, cut(at_s + lasts_s, "qx")]


def disturbed(at_s, until_s, what):
    return Disturbed(at_s=at_s, until_s=until_s, what=what)


ADDED = {
    # Answers.
    "an unsigned success": [sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", signature=None)],
    "the signature of a back end that did not run it": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", instance="orders-2"),
    ],
    "a body that lacks its end": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", body="done by orders-1"),
    ],
    "an answer that names another request": [
        sent(30.0, "qx"), ran(30.1, "qx"), ended(30.2, "qx", named="q1"),
    ],
    "a success that nobody ran": [sent(30.0, "qx"), ended(30.2, "qx")],
    "a failure of the node's own": [sent(30.0, "qx"), refused(30.2, "qx", 502)],
    # Repeats and refusals.
    "two runs of a request that may run once": [*plain(30.0, "qx"), ran(30.15, "qx", "orders-2")],
    "two runs of a repeatable request": [
        *plain(30.0, "qx", RequestKind.REPEATABLE), ran(30.05, "qx", "orders-2"),
    ],
    "two runs of a stream": [
        *streamed(30.0, "qx", weights=2), ran(30.4, "qx", "lm-2", "/f/1", weights=2),
    ],
    "a refusal of what had run": [sent(30.0, "qx"), ran(30.1, "qx"), refused(30.2, "qx", 503)],
    "a refusal of what runs later": [sent(30.0, "qx"), refused(30.2, "qx", 429), ran(31.0, "qx")],
    "a refusal of what never runs": [sent(30.0, "qx"), refused(30.2, "qx", 503)],
    "a refusal of a repeatable request that had run": [
        sent(30.0, "qx", RequestKind.REPEATABLE), ran(30.1, "qx"), refused(30.2, "qx", 503),
    ],
    # Streams.
    "a stream that lacks an event": streamed(30.0, "qx", numbers=(1, 2, 4, 5), weights=2),
    "a stream with an event twice": streamed(30.0, "qx", numbers=(1, 2, 2, 3, 4, 5), weights=2),
    "a stream that looks whole too early": streamed(30.0, "qx", numbers=(1, 2, 3), weights=2),
    "a stream that breaks off": streamed(
        30.0, "qx", numbers=(1, 2, 3), outcome=Outcome.BROKEN, weights=2
    ),
    "a stream with another request's event": streamed(
        30.0, "qx", origins=["qx lm-1"] * 4 + ["q1 lm-1"], weights=2
    ),
    "pieces of two runs in one stream": streamed(
        30.0, "qx", origins=["qx lm-1"] * 2 + ["qx lm-2"] * 3, weights=2
    ),
    "a resumed stream of two runs": streamed(
        30.0, "qx", RequestKind.RESUMABLE_STREAM, origins=["qx lm-1"] * 2 + ["qx lm-2"] * 3,
        weights=2,
    ),
    # Stops.
    "a stop that cuts a run": [*stopped(30.0), *cut_request(31.0)],
    "a stop that cuts a request it has held": [*stopped(30.0), *cut_request(31.0, has_run=False)],
    "a stop that passes a request on its way": [
        *stopped(30.0), *cut_request(32.2, lasts_s=0.05, has_run=False),
    ],
    "a stop with a back end that broke off": [
        *stopped(30.0), *cut_request(31.0),
        RunBroken(at_s=31.5, request="qx", instance=SERVICE),
    ],
    "a stop after which a back end breaks off": [
        *stopped(30.0), *cut_request(31.0),
        RunBroken(at_s=33.0, request="qx", instance=SERVICE),
    ],
    "a stop of a paused node that cuts a run": [
        *stopped(30.0), signalled(30.5, SignalName.PAUSE), signalled(31.2, SignalName.CONTINUE),
        *cut_request(31.0),
    ],
    "a stop that SIGKILL ends with a fresh run": [
        signalled(30.0, SignalName.TERMINATE), *cut_request(35.0, lasts_s=3.0),
        signalled(37.9, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a node that is killed under a run": [
        signalled(31.5, SignalName.KILL), NodeEnded(at_s=31.6, node=NODE, exit_code=-9),
        NodeStarted(at_s=32.0, node=NODE), *cut_request(31.0),
    ],
    "a stop that needs SIGKILL": [
        signalled(30.0, SignalName.TERMINATE),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop with a failing exit code": stopped(30.0, exit_code=1),
    "a stop while the soak was late": [
        signalled(30.0, SignalName.TERMINATE),
        disturbed(31.0, 33.0, Disturbance.HARNESS),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop of a node that is held up": [
        signalled(30.0, SignalName.TERMINATE), NodeSlow(at_s=31.0, node=NODE, until_s=33.0),
        signalled(38.0, SignalName.KILL, ends_stop=True),
        NodeEnded(at_s=38.0, node=NODE, exit_code=-9), NodeStarted(at_s=38.3, node=NODE),
    ],
    "a stop before the process had read anything": [
        *stopped(30.0),
        signalled(33.4, SignalName.TERMINATE),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-15), NodeStarted(at_s=33.8, node=NODE),
    ],
    # What runs.
    "a run that nobody sent": [ran(30.0, "qx")],
    "a run before its request": [ran(29.0, "qx"), *plain(30.0, "qx", RequestKind.REPEATABLE)],
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
        *marker(21.0, "qx", 2), *marker(21.3, "qy", 1),
    ],
    "an older configuration beside a newer one": [
        *marker(21.0, "qx", 2), *marker(21.1, "qy", 1),
    ],
    "an older configuration at a node that started again": [
        *marker(20.2, "qx", 2), *stopped(20.5, lasts_s=0.5), *marker(21.5, "qy", 1),
    ],
    "a dropped route that still works": marker(22.5, "qx", 1),
    "a dropped route that works for a moment": marker(21.5, "qx", 1),
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
    "a removed key": plain(25.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1),
    "a key that was removed just before": plain(24.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1),
    "a removed key at a node that was paused": [
        *plain(25.5, "qx", RequestKind.REPEATABLE, "/k/1", KEY_1),
        signalled(21.0, SignalName.PAUSE), signalled(25.4, SignalName.CONTINUE),
    ],
    # Weights.
    "a run on old weights": streamed(28.5, "qx", weights=1),
    "a run on weights that were named just before": streamed(27.5, "qx", weights=1),
    "a run on old weights, newer ones named twice": [
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
    "a run on old weights after the soak was a little late": [
        disturbed(27.0, 27.3, Disturbance.HARNESS), *streamed(28.5, "qx", weights=1),
    ],
    "a run on old weights after the soak was late": [
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
    "two holders under one fencing token": [
        OrderTaken(at_s=30.0, instance=ENGINE, holder="node-1", fencing_token=7),
        OrderTaken(at_s=31.0, instance=ENGINE, holder="node-2", fencing_token=7),
    ],
    "two holders one after another": [
        OrderTaken(at_s=30.0, instance=ENGINE, holder="node-1", fencing_token=7),
        OrderTaken(at_s=31.0, instance=ENGINE, holder="node-2", fencing_token=8),
    ],
    "a run at a back end that said that it leaves": [
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        *plain(32.5, "qx"),
    ],
    "a run at a back end that has just said that it leaves": [
        LeavingSaid(at_s=30.0, request="q1", instance=OTHER_SERVICE),
        *at_other(31.9, "qx"),
    ],
    "a run of another node at a back end that leaves": [
        LeavingSaid(at_s=30.0, request="q1", instance=OTHER_SERVICE),
        NodeStarted(at_s=25.0, node="node-2"),
        *at_other(32.5, "qx", node="node-2"),
        *at_other(52.0, "qy", node="node-2"),
    ],
    "a run at a back end that said that it leaves while the store was down": [
        disturbed(29.0, 40.0, Disturbance.STORE),
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        *plain(32.5, "qx"),
    ],
    "a run at a back end that leaves after a pause of the node": [
        LeavingSaid(at_s=30.0, request="q1", instance=SERVICE),
        signalled(31.0, SignalName.PAUSE),
        signalled(32.0, SignalName.CONTINUE),
        *plain(32.5, "qx"),
    ],
    "three requests within a rest": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *plain(30.6, "qx"),
        *plain(31.0, "qy"),
        *plain(31.5, "qz"),
    ],
    "two requests within a rest": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *plain(30.6, "qx"),
        *plain(31.0, "qy"),
    ],
    "three requests just after a rest was asked for": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        *plain(30.1, "qx"),
        *plain(30.2, "qy"),
        *plain(30.3, "qz"),
    ],
    "three requests within a rest after the node started again": [
        RestAsked(at_s=30.0, request="q1", instance=SERVICE, rest_s=2.0),
        signalled(30.3, SignalName.KILL),
        NodeEnded(at_s=30.4, node=NODE, exit_code=-9),
        NodeStarted(at_s=30.5, node=NODE),
        *plain(31.0, "qx"),
        *plain(31.2, "qy"),
        *plain(31.4, "qz"),
    ],
    "more requests than a limit allows": [
        *limited(30.0, 1.0, 1.0), *many(34.0, 12),
    ],
    "as many requests as a limit allows": [
        *limited(30.0, 1.0, 1.0), *many(34.0, 11),
    ],
    "more requests than a limit allows just after it was first stated": [
        *limited(30.0, 1.0, 1.0), *many(31.5, 12),
    ],
    "more requests than a limit allows after it has ended": [
        *limited(30.0, 1.0, 1.0),
        LimitChanged(at_s=33.9, instance=SERVICE, limit_per_s=None),
        *many(34.0, 12),
    ],
    "more requests than a limit allows at a node that was not told": [
        LimitChanged(at_s=30.0, instance=SERVICE, limit_per_s=1.0), *many(34.0, 12),
    ],
    "more requests than a limit allows after a pause of the node": [
        *limited(30.0, 1.0, 1.0),
        signalled(32.0, SignalName.PAUSE),
        signalled(33.0, SignalName.CONTINUE),
        *many(34.0, 12),
    ],
    "a process that ends by itself": [
        NodeEnded(at_s=30.0, node=NODE, exit_code=1), NodeStarted(at_s=30.3, node=NODE),
    ],
    "a process that SIGHUP ends": [
        signalled(29.9, SignalName.RELOAD), NodeEnded(at_s=30.0, node=NODE, exit_code=-1),
        NodeStarted(at_s=30.3, node=NODE),
    ],
    "a process that SIGHUP ends before it listens": [
        *stopped(30.0), signalled(33.4, SignalName.RELOAD),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-1), NodeStarted(at_s=33.8, node=NODE),
    ],
    "a process that SIGHUP ends while it starts": [
        *stopped(30.0), NodeListens(at_s=33.35, node=NODE), signalled(33.4, SignalName.RELOAD),
        NodeEnded(at_s=33.5, node=NODE, exit_code=-1), NodeStarted(at_s=33.8, node=NODE),
    ],
    "a process that is killed": [
        signalled(29.9, SignalName.KILL), NodeEnded(at_s=30.0, node=NODE, exit_code=-9),
        NodeStarted(at_s=30.3, node=NODE),
    ],
    "an unexpected error in a log": [NodeErrors(at_s=60.0, node=NODE, error="KeyError: 'x'")],
    "a node that never serves again": [NodeStarted(at_s=2.0, node="node-2")],
    "a node that serves nothing while the soak is late": [
        NodeStarted(at_s=2.0, node="node-2"), disturbed(60.0, 60.8, Disturbance.HARNESS),
    ],
    "nothing else": [],
}  # fmt: skip
