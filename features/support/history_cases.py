"""Small recorded histories by name: a plain run, and variants with one change each."""

import msgspec

from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import RefusalCode
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import (
    BackendChange,
    BackendChanged,
    CallerLeft,
    ChunkReceived,
    ConfigurationAccepted,
    ConfigurationTaken,
    ConnectionBroke,
    EngineRun,
    GenerationAnswered,
    GenerationSent,
    NodeChange,
    NodeChanged,
    OrderTaken,
    RefusalReceived,
    ServiceAnswered,
    ServiceRun,
    ServiceSent,
    StoreChanged,
)
from weirscale.standins.engine.answer import expected_text

BLOCK_SIZE_BYTES = 64
PROMPT = b"a page of the yearbook " * 40
NUM_BLOCK_TOKENS = 14 * BLOCK_SIZE_BYTES // 4
NUM_TOKENS = 6
NODE = "bole-1"
CAPTION = GenerationSent(
    at_s=1.0,
    request_id="caption",
    intended_at_s=1.0,
    tenant="bole-school",
    model="qalam",
    adapter=None,
    node=NODE,
    prompt=PROMPT,
    max_tokens=NUM_TOKENS,
    deadline_at_s=20.0,
)
ORDER = ServiceSent(
    at_s=1.5,
    request_id="order",
    intended_at_s=1.5,
    tenant="bole-school",
    service="matemia",
    node="kirkos-1",
    marker="order",
    repeatable=False,
    idempotency_key="key-1",
    deadline_at_s=12.0,
)
RUN = EngineRun(
    at_s=1.1,
    request_id="caption",
    attempt=0,
    engine="qalam-1",
    incarnation=1,
    model="qalam",
    weight_version="v1",
    adapter=None,
    cache_salt="bole-school",
    num_prompt_tokens=230,
    num_cached_tokens=0,
    finished_at_s=2.0,
)
CHUNKS = [
    ChunkReceived(
        at_s=1.2 + 0.1 * sequence,
        request_id="caption",
        chunk_request_id="caption",
        sequence=sequence,
        text=expected_text(PROMPT, NUM_TOKENS)[8 * sequence : 8 * sequence + 8],
        num_tokens=2,
    )
    for sequence in range(3)
]
ANSWERED = GenerationAnswered(
    at_s=2.0,
    request_id="caption",
    finish_reason="length",
    num_prompt_tokens=230,
    num_cached_tokens=0,
)
ORDER_RUN = ServiceRun(
    at_s=1.6,
    request_id="order",
    backend="matemia-1",
    idempotency_key="key-1",
)
ORDER_ANSWERED = ServiceAnswered(at_s=1.7, request_id="order", status=200, body=b"order accepted")
CAPTION_RECORDS = [CAPTION, RUN, *CHUNKS, ANSWERED]
ORDER_RECORDS = [ORDER, ORDER_RUN, ORDER_ANSWERED]
PLAIN = CAPTION_RECORDS + ORDER_RECORDS
UNANSWERED = [CAPTION, RUN, *CHUNKS, *ORDER_RECORDS]
"""The plain run without the end of the caption."""


def change(record, **fields):
    return msgspec.structs.replace(record, **fields)


def refusal(code, run_status, at_s=2.0):
    return RefusalReceived(at_s=at_s, request_id="caption", code=code, run_status=run_status)


def second_caption(tenant="bole-school", **run_fields):
    """Add the same prompt, sent later and served from cache by a run with the given fields."""
    sent = change(CAPTION, request_id="again", at_s=5.0, intended_at_s=5.0, tenant=tenant)
    fields = {"cache_salt": tenant, "num_cached_tokens": NUM_BLOCK_TOKENS, "finished_at_s": 6.0}
    run = change(RUN, request_id="again", at_s=5.1, **(fields | run_fields))
    answered = change(ANSWERED, request_id="again", at_s=6.0)
    chunks = [
        change(chunk, request_id="again", chunk_request_id="again", at_s=chunk.at_s + 4.0)
        for chunk in CHUNKS
    ]
    return [*PLAIN, sent, run, *chunks, answered]


def second_order(does_run, **sent_fields):
    """Add the order, sent again through another node."""
    sent = change(ORDER, **{"request_id": "again", "at_s": 1.8, "node": NODE} | sent_fields)
    run = change(ORDER_RUN, request_id="again", at_s=1.9)
    answered = change(ORDER_ANSWERED, request_id="again", at_s=2.0)
    return [*PLAIN, sent, *([run] if does_run else []), answered]


def refused_order(code=RefusalCode.DUPLICATE_REQUEST, **sent_fields):
    """Add the order, sent again through another node and refused there."""
    sent = change(ORDER, **{"request_id": "again", "at_s": 1.8, "node": NODE} | sent_fields)
    return [sent, change(refusal(code, RunStatus.UNKNOWN), request_id="again")]


def node_changes(*changes, node=NODE):
    return [NodeChanged(at_s=at_s, node=node, change=NodeChange(name)) for at_s, name in changes]


def restarted_node(ending, *more, others_answer=True):
    """Send the caption through a node that crashed and restarted at once, with the given ending."""
    changes = [*more, *node_changes((-9.0, "started"), (-5.0, "crashed"), (-4.0, "started"))]
    order = ORDER_RECORDS if others_answer else []
    return [*changes, CAPTION, ending, *order]


def leaving_engine(left_at_s, *more):
    leaving = BackendChanged(at_s=left_at_s, backend="qalam-1", change=BackendChange.LEAVING)
    return [leaving, *more, *PLAIN]


def configuration(accepted_at_s, *taken, changes=((0.0, "started"),)):
    """Accept revision 7; the node takes revisions at the given times; the run lasts 60 s."""
    records = [
        ConfigurationTaken(at_s=at_s, node=NODE, revision=revision) for at_s, revision in taken
    ]
    last = NodeChanged(at_s=60.0, node="kirkos-1", change=NodeChange.STARTED)
    accepted = ConfigurationAccepted(at_s=accepted_at_s, revision=7)
    return [*node_changes(*changes), accepted, *records, last]


def orders(*tokens):
    return [
        OrderTaken(at_s=float(index), engine="qalam-1", incarnation=1, order_token=token)
        for index, token in enumerate(tokens)
    ]


BROKE = ConnectionBroke(at_s=2.0, request_id="caption", was_connected=True)
NOT_CONNECTED = ConnectionBroke(at_s=2.0, request_id="caption", was_connected=False)
NO_BACKEND = refusal(RefusalCode.NO_BACKEND, RunStatus.NOT_RUN)
NOT_RUN = refusal(RefusalCode.OVERLOADED, RunStatus.NOT_RUN)
STREAM_BROKEN = refusal(RefusalCode.STREAM_BROKEN, RunStatus.UNKNOWN)
NOT_CONFIGURED = refusal(RefusalCode.NOT_CONFIGURED, RunStatus.NOT_RUN)
STORE_DOWN = StoreChanged(at_s=-6.0, is_up=False)
WITHOUT_KEY = [change(ORDER, idempotency_key=None), ORDER_ANSWERED, *CAPTION_RECORDS]
READ = change(ORDER, repeatable=True, idempotency_key=None)
OTHER_CHUNK = change(CHUNKS[1], chunk_request_id="other")
OTHER_TEXT = change(CHUNKS[1], text="ABCDEFGH")
RETURNED = BackendChanged(at_s=0.5, backend="qalam-1", change=BackendChange.RETURNED)
DRAINS = node_changes((0.0, "started"), (1.3, "drain_began"), (3.0, "stopped"))
CRASHES = node_changes((0.0, "started"), (1.9, "crashed"))
CUT = ((0.0, "started"), (9.0, "cut_off"), (30.0, "rejoined"))

CASES = {
    "a plain answered run": PLAIN,
    "cached prefix of the same engine run": second_caption(),
    "same prompt computed twice": second_caption(num_cached_tokens=0),
    "cached prefix of an ended engine run": second_caption(incarnation=2),
    "cached prefix of another engine": second_caption(engine="qalam-2"),
    "cached prefix of another tenant": second_caption(tenant="kirkos-school"),
    "cached prefix of older weights": second_caption(weight_version="v2"),
    "cached prefix of another adapter": second_caption(adapter="amharic"),
    "run with the salt of another tenant": [
        change(record, cache_salt="kirkos-school") if record is RUN else record for record in PLAIN
    ],
    "cached prefix imported from the kept store": second_caption(engine="qalam-2"),
    "imported prefix of older weights": second_caption(engine="qalam-2", weight_version="v2"),
    "chunk repeated": [*PLAIN, CHUNKS[2]],
    "chunks swapped": [
        change(record, sequence={0: 1, 1: 0}.get(record.sequence, 2))
        if record in CHUNKS
        else record
        for record in PLAIN
    ],
    "chunk after the end": [
        change(record, at_s=3.0) if record is CHUNKS[2] else record for record in PLAIN
    ],
    "normal end without finish reason": [*UNANSWERED, change(ANSWERED, finish_reason=None)],
    "normal end before the whole answer": [record for record in PLAIN if record is not CHUNKS[2]],
    "explicit error before the whole answer": [
        *[record for record in UNANSWERED if record is not CHUNKS[2]],
        STREAM_BROKEN,
    ],
    "chunk of another request": [
        OTHER_CHUNK if record is CHUNKS[1] else record for record in PLAIN
    ],
    "text of another request": [OTHER_TEXT if record is CHUNKS[1] else record for record in PLAIN],
    "service answer of another request": [
        *CAPTION_RECORDS,
        ORDER,
        ORDER_RUN,
        change(ORDER_ANSWERED, body=b"accepted"),
    ],
    "server error without the request's marker": [
        *CAPTION_RECORDS,
        ORDER,
        ORDER_RUN,
        change(ORDER_ANSWERED, status=503, body=b""),
    ],
    "no ending": UNANSWERED,
    "ending long after the deadline": [*UNANSWERED, change(ANSWERED, at_s=26.0)],
    "ending late from a node paused over the deadline": [
        *node_changes((0.0, "started"), (19.0, "paused"), (26.0, "resumed")),
        *UNANSWERED,
        change(ANSWERED, at_s=26.0),
    ],
    "ending late from a node paused before it took the request": [
        *node_changes((0.0, "started"), (0.5, "paused"), (9.0, "resumed")),
        *UNANSWERED,
        change(ANSWERED, at_s=26.0),
    ],
    "ending too late even after the resume": [
        *node_changes((0.0, "started"), (0.5, "paused"), (1.5, "resumed")),
        *UNANSWERED,
        change(ANSWERED, at_s=26.0),
    ],
    "ending late from a node paused long before": [
        *node_changes((0.0, "started"), (0.2, "paused"), (0.9, "resumed")),
        *UNANSWERED,
        change(ANSWERED, at_s=26.0),
    ],
    "two endings": [*PLAIN, STREAM_BROKEN],
    "caller disconnected": [*UNANSWERED, CallerLeft(at_s=2.0, request_id="caption")],
    "refused as not run and never run": [CAPTION, NOT_RUN, *ORDER_RECORDS],
    "refused as not run after a run": [CAPTION, RUN, NOT_RUN, *ORDER_RECORDS],
    "refused as not run before a run": [CAPTION, change(RUN, at_s=3.0), NOT_RUN, *ORDER_RECORDS],
    "refused as unknown and run": [CAPTION, RUN, STREAM_BROKEN, *ORDER_RECORDS],
    "order repeated with its key and run once": second_order(does_run=False),
    "order repeated with its key and run twice": second_order(does_run=True),
    "order repeated with its key and refused as a duplicate": [*PLAIN, *refused_order()],
    "order repeated with its key and refused although nothing was answered": [
        *CAPTION_RECORDS,
        ORDER,
        ORDER_RUN,
        change(BROKE, request_id="order"),
        *refused_order(),
    ],
    "order of another tenant refused as a duplicate": [
        *PLAIN,
        *refused_order(tenant="kirkos-school"),
    ],
    "order repeated with its key and failed otherwise": [
        *PLAIN,
        *refused_order(RefusalCode.STREAM_BROKEN),
    ],
    "order without key run twice": [*WITHOUT_KEY, ORDER_RUN, change(ORDER_RUN, at_s=1.65)],
    "same key of two tenants": second_order(does_run=True, tenant="kirkos-school"),
    "status read run twice": [*CAPTION_RECORDS, READ, ORDER_RUN, ORDER_RUN, ORDER_ANSWERED],
    "restarted node answers": restarted_node(refusal(RefusalCode.OVERLOADED, RunStatus.NOT_RUN)),
    "restarted node has no configuration": restarted_node(NOT_CONFIGURED),
    "restarted node cut off has no configuration": restarted_node(
        NOT_CONFIGURED, *node_changes((-4.5, "cut_off"))
    ),
    "node restarted alone with the store down": restarted_node(NOT_CONFIGURED, STORE_DOWN),
    "node restarted beside others with the store down": restarted_node(
        NOT_CONFIGURED,
        STORE_DOWN,
        *node_changes((-9.0, "started"), node="kirkos-1"),
        ConfigurationTaken(at_s=-8.0, node="kirkos-1", revision=7),
    ),
    "node restarted beside another that lost its configuration too": restarted_node(
        NOT_CONFIGURED,
        STORE_DOWN,
        *node_changes((-9.0, "started"), (-5.0, "crashed"), (-4.1, "started"), node="kirkos-1"),
        ConfigurationTaken(at_s=-8.0, node="kirkos-1", revision=7),
    ),
    "node restarted alone after the store came back": restarted_node(
        NOT_CONFIGURED, STORE_DOWN, change(STORE_DOWN, at_s=-4.5, is_up=True)
    ),
    "restarted node refuses the connection": restarted_node(NOT_CONNECTED),
    "restarted node reports no back end": restarted_node(NO_BACKEND),
    "every node reports no back end": restarted_node(NO_BACKEND, others_answer=False),
    "down node refuses the connection": [
        *node_changes((-9.0, "started"), (-5.0, "crashed")),
        CAPTION,
        NOT_CONNECTED,
    ],
    "leaving back end gets work at once": leaving_engine(-2.0),
    "leaving back end gets work late": leaving_engine(-4.0),
    "crashed back end that leaves gets work late": leaving_engine(
        -4.0, change(RETURNED, change=BackendChange.CRASHED)
    ),
    "leaving back end gets work from a node just resumed": leaving_engine(
        -4.0, *node_changes((-9.0, "started"), (-5.0, "paused"), (0.0, "resumed"))
    ),
    "leaving back end gets work from a node cut off": leaving_engine(
        -4.0, *node_changes((-9.0, "started"), (-5.0, "cut_off"))
    ),
    "leaving back end gets work from a node long resumed": leaving_engine(
        -6.0, *node_changes((-9.0, "started"), (-7.0, "paused"), (-5.0, "resumed"))
    ),
    "returned back end gets work": leaving_engine(-4.0, RETURNED),
    "planned stop finishes a stream": [*DRAINS, *PLAIN],
    "planned stop cuts a stream": [*DRAINS, *UNANSWERED, BROKE],
    "crash during a planned stop cuts a stream": [
        *node_changes((0.0, "started"), (1.3, "drain_began"), (1.9, "crashed")),
        *UNANSWERED,
        BROKE,
    ],
    "planned stop cuts a stream before a crash": [
        *node_changes((0.0, "started"), (1.3, "drain_began"), (2.1, "crashed")),
        *UNANSWERED,
        BROKE,
    ],
    "crash cuts a stream": [*CRASHES, *UNANSWERED, BROKE],
    "configuration taken in time": configuration(10.0, (1.0, 5), (19.0, 7)),
    "configuration taken late": configuration(10.0, (1.0, 5), (21.0, 7)),
    "configuration never taken": configuration(10.0, (1.0, 5)),
    "configuration reverted": configuration(10.0, (11.0, 7), (12.0, 5)),
    "configuration of a restarted node too old": configuration(
        10.0, (11.0, 7), (31.0, 5), changes=((0.0, "started"), (29.0, "crashed"), (30.0, "started"))
    ),
    "configuration late behind a cut": configuration(10.0, (1.0, 5), (32.0, 7), changes=CUT),
    "configuration late after a cut": configuration(10.0, (1.0, 5), (41.0, 7), changes=CUT),
    "orders in order of their tokens": orders(3, 4, 4, 6),
    "order of a lapsed lease": orders(3, 6, 4),
}

NAMES_WITH_KEPT_KV = frozenset(
    {"cached prefix imported from the kept store", "imported prefix of older weights"}
)


def history_case(name):
    """Return the history with a name."""
    return History(
        CASES[name],
        lambda sent: expected_text(sent.prompt, sent.max_tokens),
        BLOCK_SIZE_BYTES,
        is_kv_kept=name in NAMES_WITH_KEPT_KV,
    )
