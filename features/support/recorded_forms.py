"""Examples of all data that leaves a node: messages, records, calls, log events and metrics.

`features/recorded_forms/` holds the recorded form of each example. The examples follow the names
of the code; the recordings do not change.
"""

import ast
import json
from collections import defaultdict
from pathlib import Path
from random import Random

import anyio
import cbor2
import httpx
import msgspec
from result import Ok

from features.support.platform_fleet import ADAPTER, EventRecorder
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.duties.lease import LeaseRules
from weirscale.domain.identifiers import (
    Incarnation,
    NodeId,
    NodeName,
    ServiceName,
    SoftwareVersion,
    TenantName,
    ZoneName,
)
from weirscale.gateway.model.back_ends import BackEnd, BackEndState, ServedModel
from weirscale.gateway.model.configuration import (
    CallerLimits,
    EngineProfile,
    GatewayConfiguration,
    KeptKvStore,
    Quota,
    QuotaUnit,
    RequestKind,
    Route,
    Service,
    Tenant,
    WeightedService,
)
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.prompt import Prompt, PromptBlock
from weirscale.gateway.model.rollout_order import Epoch, RolloutState, RolloutStatus
from weirscale.gateway.peers.gossip_entries import (
    AnsweredBlockGossip,
    AnsweredGossip,
    BlocksCrashGossip,
    BrittleGossip,
    CanaryGossip,
    CrashGossip,
    EndedGossip,
    LeavingGossip,
    LimitGossip,
    LoadGossip,
    LoadingGossip,
    MovedGossip,
    SendGossip,
    SuspectGossip,
    TargetVersionGossip,
    UsageGossip,
)
from weirscale.gateway.peers.messages import (
    REST_OF_FLEET,
    AgesQuery,
    AgesReply,
    Gossip,
    OriginQuery,
    OriginReply,
    PermitQuery,
    PermitReply,
    StateQuery,
    StateReply,
    StreamBegan,
)
from weirscale.gateway.peers.registrations import Registration, RegistrationTask
from weirscale.gateway.ports.back_end import LoadMode, OutboundRequest, WeightOrder
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.ports.state_feed import (
    BackEndGone,
    BackEndRegistered,
    ConfigurationChanged,
    RecordChanged,
    RolloutOrdered,
    RolloutStatusSeen,
    RolloutWithdrawn,
    TargetVersionChanged,
    Unreadable,
    VersionedChange,
)
from weirscale.gateway.quarantine.block_keeper import BlockQuarantine
from weirscale.gateway.quarantine.block_key import BlockKey
from weirscale.gateway.quarantine.block_suspects import BlocksCrash
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.quarantine.record import BLOCK_RECORDS, REQUEST_RECORDS
from weirscale.gateway.rollouts.record import (
    RolloutRecord,
    Stage,
    decode_record,
    encode_record,
    record_key,
)
from weirscale.gateway.rollouts.tallies import Counts, Evidence
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker, read_weights_age_marker
from weirscale.gateway.telemetry.metrics import GatewayMetrics
from weirscale.gateway.weights.order_fence import OrderFence
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.key_value import KeyValue, ReadAnswer, SwapAnswer
from weirscale_platform.back_end_client import BackEndClient
from weirscale_platform.key_value import KeyValueAdapter
from weirscale_platform.state_feed import StateFeedAdapter
from weirscale_platform.store_client import StoreClient

ROOT = Path(__file__).resolve().parents[2]
RECORDINGS = ROOT / "features" / "recorded_forms"
LOGGING_SOURCES = (
    ROOT / "src" / "weirscale" / "gateway",
    ROOT / "src" / "weirscale" / "leases",
    ADAPTER,
)
FINGERPRINT = RequestFingerprint("00112233445566778899aabbccddeeff")
BLOCKS = (BlockKey("5c1e07a2"), BlockKey("91bd3f06"))
RUNS = ("i-1@0", "i-2@1700000000001", "i-3@0")
LEASE_ID = 7
WRITTEN_WITHIN_S = 20.0
"""Virtual time within which each task of the examples must write its record."""


def recorded(kind):
    """Return the recordings of a kind."""
    return json.loads((RECORDINGS / f"{kind}.json").read_text())


def _routes():
    return (
        Route(
            "a", "h.example", "/a/", RequestKind.STREAMING,
            (WeightedService(ServiceName("lm"), 0.75), WeightedService(ServiceName("l2"), 0.25)),
            4.0, 0.6, 2, 3, True, True, 0.5,
        ),
        Route(
            "b", "h.example", "/b/", RequestKind.MUTATING,
            (WeightedService(ServiceName("app"), 1.0),), 1.0, 0.2,
        ),
        Route(
            "c", "h.example", "/c/", RequestKind.IDEMPOTENT,
            (WeightedService(ServiceName("app"), 1.0),), 1.0, 0.2, max_attempts=2,
        ),
    )  # fmt: skip


def _configuration():
    return GatewayConfiguration(
        41,
        _routes(),
        (
            Service(ServiceName("lm"), "/up", 300, EngineProfile(48, 107924, ("m", "m2"))),
            Service(ServiceName("app")),
            Service(
                ServiceName("kept"),
                kept_kv=KeptKvStore("10.0.0.9:8080", ZoneName("z"), 5_000_000),
            ),
        ),
        CallerLimits(1000, 2000, 1.5, 2.5),
        (
            Tenant(TenantName("t"), ("k1", "k2"), 1, True, Quota(5.5, 10.0, QuotaUnit.TOKENS, 12)),
            Tenant(TenantName("u"), ("k3",), quota=Quota(2.0, 3.0)),
            Tenant(TenantName("v"), ()),
        ),
    )


def _back_ends():
    return (
        BackEnd(
            "i-1", ServiceName("lm"), "10.0.0.5:8080", ZoneName("z"), BackEndState.READY, 48,
            (ServedModel("m", 3), ServedModel("m2", 1)), SoftwareVersion("v7"), 1_700_000_000_001,
        ),
        BackEnd(
            "i-2", ServiceName("app"), "10.0.0.6:8080", ZoneName("y"), BackEndState.LEAVING, 6
        ),
        BackEnd(
            "i-3", ServiceName("app"), "10.0.0.7:8080", ZoneName("y"), BackEndState.LAPSED, 6
        ),
    )  # fmt: skip


def _other_changes():
    target = SoftwareVersion("v8")
    service = ServiceName("lm")
    return (
        BackEndGone("i-9"),
        TargetVersionChanged("m", 4),
        RolloutOrdered(service, target, 60.0),
        RolloutWithdrawn("op/rollout/lm"),
        *(RolloutStatusSeen(RolloutStatus(service, target, state)) for state in RolloutState),
        RecordChanged("weirscale/a", b"\x00\xffvalue"),
        RecordChanged("weirscale/b", None),
        Unreadable("op/x", "no number"),
    )


def _reply(changes):
    versioned = tuple(
        VersionedChange(f"key/{number}", 100 + number, change)
        for number, change in enumerate(changes)
    )
    return StateReply("node-1", 5, 99, 120, 340, False, versioned)


def messages():
    """Return an example of every message between nodes, by name."""
    parts = (PromptBlock("5c1e07a2", 800), PromptBlock("91bd3f06", 410))
    full = Gossip(
        sender="node-1",
        loads=(LoadGossip("i-1", 3, 9190, 18000), LoadGossip("i-2", 0, 0, 0)),
        sends=(SendGossip("i-1", "m@3/t", False, parts), SendGossip("i-1", "m@3", True, parts[:1])),
        loading=(LoadingGossip("i-1", "m", 4, False), LoadingGossip("i-2", "m", 4, True)),
        target_versions=(TargetVersionGossip("m", 4, 350),),
        suspects=(SuspectGossip("i-9"),),
        group="",
        usage=(UsageGossip("t", 1200, (300, 1000, 0)),),
        num_nodes=1,
        canary_counts=(
            CanaryGossip("lm", 77, "a", "i-1", 20, 2, 1),
            CanaryGossip("lm", 77, "a", "", 90, 1, 0),
        ),
        moved_nodes=(MovedGossip("lm", 77, 1),),
        sender_run=3_735_928_559,
        crashes=(CrashGossip(FINGERPRINT, RUNS[0], True), CrashGossip(FINGERPRINT, RUNS[1], False)),
        answered=(AnsweredGossip(FINGERPRINT),),
        leaving=(LeavingGossip(RUNS[1]),),
        ended=(EndedGossip(RUNS[0]),),
        limits=(LimitGossip(RUNS[0], 1.1), LimitGossip(RUNS[1], None)),
        brittle=(BrittleGossip(RUNS[0], 2.0), BrittleGossip(RUNS[1], 0.5, 12, True)),
        blocks_crashes=(BlocksCrashGossip(RUNS[0], FINGERPRINT, ("5c1e07a2", "91bd3f06"), True),),
        answered_blocks=(AnsweredBlockGossip("5c1e07a2"), AnsweredBlockGossip("91bd3f06", True)),
    )
    return {
        "news_empty": Gossip("node-1"),
        "news_full": full,
        "news_of_group": Gossip(
            "node-1", (LoadGossip("i-1", 3, 9, 18),), group=REST_OF_FLEET, num_nodes=12
        ),
        "query": StateQuery("node-2", 5, 99),
        "reply_empty": StateReply("node-1", 5, 99, 99, 12, True),
        "reply_configuration": _reply([ConfigurationChanged(_configuration())]),
        "reply_back_ends": _reply([BackEndRegistered(back_end) for back_end in _back_ends()]),
        "reply_other_changes": _reply(_other_changes()),
        "ages_query": AgesQuery("node-2", 6),
        "ages_reply": AgesReply("node-1", 6, 5000, 120),
        "ages_reply_silent": AgesReply(
            "node-1", 6, 5000, 120, 9000, (TargetVersionGossip("m", 4, 350),)
        ),
        "permit_query": PermitQuery("node-2", 7, RUNS[0], 2, 1.1, 350),
        "permit_reply": PermitReply("node-1", 7, RUNS[0], 1, 0, 1.1, 40),
        "permit_reply_none": PermitReply("node-1", 7, RUNS[0], 0, 900, None, 40),
        "stream_began": StreamBegan(2**63 + 5, "paddock-lm", "v1.1"),
        "origin_query": OriginQuery("node-2", 2**63 + 5),
        "origin_reply": OriginReply("node-1", 2**63 + 5, "paddock-lm", "v1.1"),
        "origin_reply_unknown": OriginReply("node-1", 2**63 + 5),
        "origin_reply_conflict": OriginReply("node-1", 2**63 + 5, is_conflict=True),
    }


_BLOCK_FIELDS = {"blocks_crashes": (), "answered_blocks": ()}

FIELDS_SINCE = {
    "leaving": {"leaving": (), "ended": (), "limits": (), "brittle": (), **_BLOCK_FIELDS},
    "limits": {"limits": (), "brittle": (), **_BLOCK_FIELDS},
    "brittle": {"brittle": (), **_BLOCK_FIELDS},
    "blocks": _BLOCK_FIELDS,
}
"""By the name of an addition to gossip: its fields, which earlier releases do not support, empty."""


def earlier_messages():
    """Return the content of the messages of earlier releases, by the name of their recording."""
    current_messages = messages()
    return {
        f"{name}_before_{addition}": msgspec.structs.replace(current_messages[name], **fields)
        for addition, fields in FIELDS_SINCE.items()
        for name in ("news_empty", "news_full", "news_of_group")
    }


def read_by_release_before(addition, encoded):
    """Decode a gossip message as the last release before an addition does."""
    fields = [
        (field.name, field.type, field.default)
        for field in msgspec.structs.fields(Gossip)
        if field.name not in ("sender", *FIELDS_SINCE[addition])
    ]
    earlier = msgspec.defstruct(
        "EarlierGossip", [("sender", str), *fields], frozen=True, array_like=True, tag="news"
    )
    return msgspec.convert(cbor2.loads(encoded), earlier, builtin_types=(bytes,))


class RecordingStore:
    """A key-value service that accepts every call and keeps the written values."""

    def __init__(self):
        self.written = []
        self.has_written = anyio.Event()

    async def read(self, prefix):
        """Return an empty answer."""
        return Ok(ReadAnswer(1, ()))

    async def grant_lease(self, time_to_live_s):
        """Grant the same lease for every call."""
        return Ok(LEASE_ID)

    async def keep_lease_alive(self, lease_id):
        """Renew any lease."""
        return Ok(6.0)

    async def revoke_lease(self, lease_id):
        """Accept the end of any lease."""
        return Ok(None)

    async def compare_and_swap(self, key, expected_mod_revision, value, lease_id=0):
        """Record the write and let it succeed."""
        self.written.append((key, value))
        self.has_written.set()
        return Ok(SwapAnswer(True, 2, KeyValue(key, value, 2, 2, lease_id)))


def _written_by(start):
    """Return the first key and value that a task writes; `start(store, tasks)` starts the task."""
    stores = []

    async def body():
        stores.append(store := RecordingStore())
        async with anyio.create_task_group() as tasks:
            await start(store, tasks)
            with anyio.fail_after(WRITTEN_WITHIN_S):
                await store.has_written.wait()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(body)
    return stores[0].written[0]


class AlwaysEligible:
    """Makes a node eligible for every duty."""

    def is_own(self, duty, count, /):
        """Return True: the node should try to get the duty."""
        return True


def _registration():
    async def start(store, tasks):
        registration = Registration("10.0.0.2", 7340, "z", 85, "5f2c")
        tasks.start_soon(
            RegistrationTask(
                "node-1", registration, store, EventRecorder(), anyio.sleep_forever
            ).run
        )

    return _written_by(start)


def _duty():
    async def start(store, tasks):
        node_id = NodeId(NodeName("node-1"), Incarnation(0))
        task = DutyLeaseTask(
            Duty(DutyKind.PLACEMENT_PLANNER), node_id, store, AlwaysEligible(), Random(1),
            LeaseRules(),
        )  # fmt: skip
        tasks.start_soon(task.run)

    return _written_by(start)


def _order_fence():
    async def start(store, tasks):
        clock = anyio.current_time
        fence = OrderFence("node-1", store, ClusterState(EventRecorder(), clock), 3.0, clock)
        assert await fence.acquire()

    return _written_by(start)


def _quarantine():
    async def start(store, tasks):
        clock = anyio.current_time
        cluster = ClusterState(EventRecorder(), clock)
        quarantine = Quarantine("node-1", cluster, store, lambda: 0.0, EventRecorder(), clock)
        for run in RUNS:
            quarantine.note_crash(FINGERPRINT, RunId(run), True)
        tasks.start_soon(quarantine.run)

    return _written_by(start)


def _quarantined_blocks():
    async def start(store, tasks):
        clock = anyio.current_time
        cluster = ClusterState(EventRecorder(), clock)
        quarantine = BlockQuarantine(
            "node-1", cluster, store, lambda: 0.0, lambda: True, EventRecorder(), clock
        )
        for number in range(5):
            request = RequestFingerprint(f"{number:032x}")
            quarantine.note_crash(BlocksCrash(RunId(f"i-{number}@0"), request, BLOCKS, True))
        tasks.start_soon(quarantine.run)

    return _written_by(start)


def _weights_age():
    return WeightsAgeMarker("m", 4, 2.5)


def _rollout():
    return RolloutRecord(
        ServiceName("lm"), Epoch(77), SoftwareVersion("v8"), Stage.ROLLED_BACK, 12.5, 3,
        (SoftwareVersion("v6"), SoftwareVersion("v8")),
        Evidence(Counts(20, 2, 1), Counts(90, 1, 0)), "failures", (SoftwareVersion("v7"),),
    )  # fmt: skip


def _rollout_begun():
    return RolloutRecord(ServiceName("lm"), Epoch(78), SoftwareVersion("v9"), Stage.CANARY, 0.0, 3)


def _rollout_status():
    made_call = _made_call("store_status")
    entry = json.loads(made_call["body"])["put"][0]
    return entry["private_key"], entry["value"].encode()


def record(name):
    """Return the key and value of an example record."""
    rollouts = {"rollout": _rollout, "rollout_begun": _rollout_begun}
    if name in rollouts:
        rollout = rollouts[name]()
        return record_key(rollout.service), encode_record(rollout)
    if name == "weights_age":
        return _weights_age().key(), _weights_age().value()
    makers = {
        "registration": _registration,
        "duty": _duty,
        "order_turn": _order_fence,
        "quarantine": _quarantine,
        "quarantined_blocks": _quarantined_blocks,
        "rollout_status": _rollout_status,
    }
    return makers[name]()


def read_record(name, key, value):
    """Return the decoded form of a recorded record, and the expected one."""
    if name in ("rollout", "rollout_begun"):
        return decode_record(value), _rollout() if name == "rollout" else _rollout_begun()
    if name == "weights_age":
        return read_weights_age_marker(key, value), _weights_age()
    if name == "quarantine":
        return REQUEST_RECORDS.read(key.removeprefix(REQUEST_RECORDS.prefix)), FINGERPRINT
    if name == "quarantined_blocks":
        return BLOCK_RECORDS.read(key.removeprefix(BLOCK_RECORDS.prefix)), frozenset(BLOCKS)
    read = msgspec.convert(cbor2.loads(value), Registration)
    token = "" if name == "registration_before_relays" else "5f2c"
    return read, Registration("10.0.0.2", 7340, "z", 85, token)


class RecordingTransport(httpx.AsyncBaseTransport):
    """Records its requests and answers each with status 500 and an empty body."""

    def __init__(self, *_):
        self.requests = []

    async def handle_async_request(self, request):
        """Record a request and its body."""
        self.requests.append((request, await request.aread()))
        return httpx.Response(500, content=b"")


def _request(is_full):
    prompt = Prompt("m", (PromptBlock("5c1e07a2", 800),), 900, 80) if is_full else None
    return CallerRequest(
        "9c41d07be2a35f68", "POST", b"/a/2f?x=1", "h.example", "/a/2f", "k1", 5.0, prompt, 980,
        "12", ((b"host", b"h.example"), (b"x-attempt-id", b"9c41d07be2a35f68")),
    )  # fmt: skip


def _outbound(is_full):
    if not is_full:
        return OutboundRequest(_request(False), b"", "i-1", 0.7505)
    return OutboundRequest(
        _request(True), b"body", "i-1", 4.25, TenantName("t"), 4, "m@3/t", 3, "10.0.0.9:8080",
        "10.0.0.8:8080", "12",
    )  # fmt: skip


async def _send(client, outbound):
    async with client.send(outbound):
        pass


def _order(mode):
    return WeightOrder("m", 4, "node-1", 3, 2, "i-1", mode)


_STATUS = RolloutStatus(ServiceName("lm"), SoftwareVersion("v8"), RolloutState.ROLLED_BACK)

_RUNNER_CALLS = {
    "request_full": lambda runner: _send(runner, _outbound(True)),
    "request_plain": lambda runner: _send(runner, _outbound(False)),
    "order_during_runs": lambda runner: runner.order(_order(LoadMode.DURING_RUNS), 0.5),
    "order_after_runs": lambda runner: runner.order(_order(LoadMode.AFTER_RUNS), 0.5),
    "report": lambda runner: runner.report(0.5),
    "health": lambda runner: runner.is_healthy("/up", 0.5),
}
_FEED_CALLS = {
    "store_read_all": lambda feed: feed.read_all(),
    "store_follow": lambda feed: feed.follow(99, 2.5),
    "store_revision": lambda feed: feed.current_revision(),
    "store_status": lambda feed: feed.write_rollout_status(_STATUS, 3),
}
_STORE_CALLS = {
    "store_write": lambda store: store.compare_and_swap("weirscale/a", 3, b"\x00\xff", 7),
    "store_delete": lambda store: store.compare_and_swap("weirscale/a", 3, None),
    "store_lease": lambda store: store.grant_lease(6.25),
    "store_renewal": lambda store: store.keep_lease_alive(7),
    "store_lease_end": lambda store: store.revoke_lease(7),
}


def _made_call(name):
    transport = RecordingTransport()
    if name in _RUNNER_CALLS:
        make_call = _RUNNER_CALLS[name]
        client = BackEndClient(
            _back_ends()[0], 5, lambda *_: None, None, lambda *_, **__: transport
        )
    elif name in _FEED_CALLS:
        make_call = _FEED_CALLS[name]
        client = StateFeedAdapter(StoreClient("10.0.0.1:7000", lambda *_: transport))
    else:
        make_call = _STORE_CALLS[name]
        client = KeyValueAdapter(StoreClient("10.0.0.1:7000", lambda *_: transport))

    async def body():
        await make_call(client)

    run_in_virtual_time(body)
    request, content = transport.requests[0]
    return {
        "method": request.method,
        "url": str(request.url),
        "target": request.extensions.get("target", b"").decode(),
        "headers": [[name.decode(), value.decode()] for name, value in request.headers.raw],
        "timeout": request.extensions["timeout"],
        "body": content.decode(),
    }


def call(name):
    """Return the method, target, headers and body of an example call."""
    return _made_call(name)


def log_events():
    """Return the names of the events that the gateway logs, each with the fields of its line.

    The names come from the sources: the keywords of each call of `event`, and the keys that are
    set in each function whose name ends in `fields`.
    """
    events = defaultdict(set)
    for folder in LOGGING_SOURCES:
        for file in sorted(folder.rglob("*.py")):
            tree = ast.parse(file.read_text())
            for function in _functions(tree):
                for name, fields in _events_of(function):
                    events[name].update(fields)
                if function.name.endswith("fields"):
                    events["(parts of lines)"].update(_keys_of(function))
    return {name: sorted(fields) for name, fields in sorted(events.items())}


def _functions(tree):
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return [node for node in ast.walk(tree) if isinstance(node, kinds)]


def _events_of(function):
    for node in ast.walk(function):
        is_event = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
        if is_event and node.func.attr == "event" and node.args:
            for name in _texts(node.args[0], function):
                yield name, {keyword.arg for keyword in node.keywords if keyword.arg is not None}


def _texts(node, function):
    """Return the texts that an expression may evaluate to."""
    if isinstance(node, ast.Constant):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return [*_texts(node.body, function), *_texts(node.orelse, function)]
    if isinstance(node, ast.Name):
        return [
            text
            for statement in ast.walk(function)
            if isinstance(statement, ast.Assign) and any(_are_names(statement.targets, node.id))
            for text in _texts(statement.value, function)
        ]
    return []


def _are_names(targets, name):
    return (isinstance(target, ast.Name) and target.id == name for target in targets)


def _keys_of(function):
    for node in ast.walk(function):
        keys = []
        if isinstance(node, ast.Dict):
            keys = node.keys
        elif isinstance(node, ast.Subscript) and isinstance(node.ctx, ast.Store):
            keys = [node.slice]
        for key in keys:
            if isinstance(key, ast.Constant) and isinstance(key.value, str):
                yield key.value


def metrics():
    """Return the type, labels and buckets of each metric of a node, by name."""
    registry = GatewayMetrics().registry
    return {
        metric._name: {
            "type": metric._type,
            "labels": list(metric._labelnames),
            "buckets": [str(bound) for bound in getattr(metric, "_upper_bounds", ())],
        }
        for metric in sorted(set(registry._collector_to_names), key=lambda metric: metric._name)
    }
