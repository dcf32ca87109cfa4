"""Stand-in of a runner and of an ordering service, written from the published protocol.

The stand-in records every arrival and every run of a request, with its header fields, so that a
test can check how often each request ran.
"""

import json
from dataclasses import dataclass, field

import anyio
import httpx

NUM_EVENTS = 5
EVENT_INTERVAL_S = 0.02
READ_S = 0.03
HANG_S = 3600.0
CRASH_CHECK_INTERVAL_S = 0.05
"""The longest time between the end of a process and the cut of its connections."""

ENDLESS = ("endless_body", "endless_event")
"""Faults with which an answer has bytes without end: a whole body, or one event after a sound one."""

BREAKING = (
    *ENDLESS,
    "hang",
    "reset",
    "break",
    "stall",
    "end_inside",
    "end_before_blank",
    "end_before_event",
)
"""Faults with which an answer never completes."""

CRASHES = (
    *("crash_before_event", "crash_between", "crash_in_comment", "crash_after"),
    *("crash_silent", "crash_silent_at_first", "crash_reborn"),
)
"""Faults with which the process ends during an answer, and its connections end without an error.

After `crash_silent`, new connections are neither accepted nor refused; after `crash_silent_at_first`
so for some time. After `crash_reborn`, another process runs at once at the same address.
"""

NAMELESS = "nameless"
"""Extension of an answer that names no request, as those to health checks do not."""

UNENDING = "unending"
"""Extension of an answer whose body does not end."""

ENDLESS_PART = b"x" * 65_536
ENDLESS_INTERVAL_S = 0.001

UNFRAMED = (
    *("unframed", "end_inside", "end_before_blank", "end_before_event", "crlf_end_inside"),
    *CRASHES,
)
"""Faults whose answers have neither a length nor chunks."""


@dataclass
class Run:
    """One run of a request."""

    request_id: str
    salt: str | None
    version: int
    source: str | None
    tenant: str | None
    headers: dict
    began_s: float
    ended_s: float | None = None
    is_own_answer: bool = True
    """Whether its answer names its request and has the signature of its back end."""
    first_event_s: float | None = None
    """When the first event was generated; before, the run does not count as begun."""


@dataclass
class RunnerStandIn:
    """One incarnation of a back end. Each arriving request takes one of `faults` while any are left."""

    instance: str
    address: str
    service: str
    zone: str = "hall-a"
    model: str | None = "m"
    version: int = 1
    faults: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    targets: list = field(default_factory=list)
    sequence: int = 0
    fence: int = 0
    is_loading: bool = False
    load_s: float = 0.5
    lose_order_answers: bool = False
    late_orders_s: float | None = None
    read_s: float = READ_S
    on_version: object = None
    load_mode: str = "block"
    num_running: int = 0
    event_interval_s: float = EVENT_INTERVAL_S
    names_request: bool = False
    """Whether bodies and events contain the id of the request and the name of this instance."""
    name_in_events: str | None = None
    """What its bodies and events name instead of its instance; None for that."""
    numbers_events: bool = True
    """Whether its events have ids."""
    on_run: object = None
    """Called with each `Run` that begins, its target and its body."""
    on_break: object = None
    """Called with the id of each request whose answer this runner will not complete."""
    software: str = ""
    """The version of its program, as the registration states it."""
    born_ms: int | None = None
    """The start time of its process, if the registration states it."""
    num_endless_bytes: int = 0
    """Number of bytes that its answers without end had."""
    is_crashed: bool = False
    """Whether the process has ended; the connections of its requests in flight are then cut."""
    on_crash: object = None
    """Called with this runner and the fault when one of `CRASHES` ends its process."""
    probe_s: float = 0.0
    """Seconds that a health check waits for a slot."""
    is_silent: bool = False
    """Whether it answers nothing any more."""
    is_leaving: bool = False
    """Whether its answers state that it is leaving."""
    leaving_path: str | None = None
    """The only path whose answers state that it is leaving; None for all paths."""
    refusal_rest: str | None = None
    """The Retry-After value of an answer that refuses one request because of a fault."""
    on_statement: object = None
    """Called for each request whose answer states that this runner is leaving or asks for a rest.

    The arguments are the request's id, whether the runner is leaving, and Retry-After or None.
    """
    on_limit: object = None
    """Called with the id of each request whose answer states a request limit."""
    rests: tuple = ()
    """Unless empty, it refuses all requests and sends these Retry-After values."""
    refusal_status: int = 503
    """The status of a refusal that asks for a rest."""
    proves_refusals: bool = True
    """Whether a refusal that asks for a rest states that the request was not run."""
    limits: tuple = ()
    """The request limits that all its answers state, as header values."""
    brittle: str | None = None
    """The number of refusals per second that it bears, as its answers state it; None if sound."""
    room: int | None = None
    """The number of requests that it lets run or wait; it refuses more. None for any number."""
    num_present: int = 0
    """Number of requests that it lets run or wait now."""
    refused_s: list = field(default_factory=list)
    """The times at which it refused a request for want of room."""
    on_fall: object = None
    """Called once it has refused more requests in a second than it bears."""
    unknown_header: str | None = None
    """A header that all its answers have and that no release of the gateway supports."""
    limited_path: str | None = None
    """The only path whose answers state `limits`; None for all paths."""
    probe_rests: tuple = ()
    """Unless empty, it refuses health checks and sends these Retry-After values."""
    probed_s: list = field(default_factory=list)
    """The times of the health checks that it received."""

    def entry(self, state="ready"):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        born = {} if self.born_ms is None else {"born": self.born_ms}
        return born | {
            "service": self.service,
            "version": self.software,
            "address": self.address,
            "zone": self.zone,
            "slots": 4,
            "state": state,
            "seq": 1,
            "models": models if self.model else [],
        }

    async def handle(self, request):
        response = await self._answer(request)
        if self.is_leaving and self.leaving_path in (None, request.url.path):
            response.headers["Server-Leaving"] = "1"
        if self.limits and self.limited_path in (None, request.url.path):
            stated = [("Server-Limit", limit) for limit in self.limits]
            response.headers = httpx.Headers([*response.headers.multi_items(), *stated])
        request_id = request.headers.get("x-attempt-id")
        if request_id is not None and NAMELESS not in response.extensions:
            response.headers.setdefault("X-Attempt-Id", request_id)
        if self.on_limit is not None and request_id and "server-limit" in response.headers:
            self.on_limit(request_id)
        if self.brittle is not None:
            response.headers["Server-Brittle"] = self.brittle
        if self.unknown_header is not None:
            response.headers[self.unknown_header] = "1"
        self._report_statement(request, response)
        return response

    def _report_statement(self, request, response):
        request_id = request.headers.get("x-attempt-id")
        is_leaving = "server-leaving" in response.headers
        rest = response.headers.get("retry-after")
        if self.on_statement is not None and request_id is not None and (is_leaving or rest):
            self.on_statement(request_id, is_leaving, rest)

    def crash(self, fault):
        """End the process, as a fault of `CRASHES` does."""
        self.is_crashed = True
        self.is_silent = fault in ("crash_silent", "crash_silent_at_first")
        if self.on_crash is not None:
            self.on_crash(self, fault)

    async def _answer(self, request):
        await anyio.sleep(HANG_S if self.is_silent else 0.001)
        path = request.url.path
        if path == "/v1/report":
            return self._report()
        if path == "/v1/order":
            return await self._order(request)
        if path == "/healthz":
            self.probed_s.append(anyio.current_time())
            await anyio.sleep(self.probe_s)
            if self.probe_rests:
                return self._refuse(self.probe_rests)
            return httpx.Response(200, headers={"X-Instance-Id": self.instance})
        return await self._request(request)

    async def _request(self, request):
        request_id = request.headers.get("x-attempt-id", "")
        self.arrivals.append((anyio.current_time(), request_id, dict(request.headers)))
        self.targets.append((request.extensions["target"], request.content))
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "connect":
            raise httpx.ConnectError("refused")
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.instance):
            return httpx.Response(421, headers={"X-Instance-Id": self.instance})
        expected_version = request.headers.get("x-expect-version")
        if expected_version is not None and int(expected_version) != self.version:
            return httpx.Response(421, headers={"X-Not-Executed": "1"})
        if self.rests:
            return self._refuse(self.rests)
        if fault == "refuse" and self.refusal_rest is not None:
            return self._refuse((self.refusal_rest,))
        if fault == "refuse" or self.is_loading:
            return httpx.Response(503, headers={"X-Not-Executed": "1"})
        if self.room is not None and self.num_present >= self.room:
            self._refuse_for_want_of_room()
            return httpx.Response(503, headers={"X-Not-Executed": "1"})
        return await self._run_in_room(request, request_id, fault)

    def _refuse_for_want_of_room(self):
        now_s = anyio.current_time()
        self.refused_s.append(now_s)
        num_recent = sum(at_s > now_s - 1.0 for at_s in self.refused_s)
        if self.brittle is not None and num_recent > float(self.brittle) and not self.is_crashed:
            self.is_crashed = True
            self.on_fall()

    async def _run_in_room(self, request, request_id, fault):
        """Run a request that occupies room until the end of its answer."""
        self.num_present += 1
        try:
            response = await self._run(request, request_id, fault)
        except BaseException:
            self.num_present -= 1
            raise
        response.stream = OccupyingBody(self, response.stream)
        return response

    def _refuse(self, rests):
        headers = [("Retry-After", rest) for rest in rests]
        if self.proves_refusals:
            headers.append(("X-Not-Executed", "1"))
        return httpx.Response(self.refusal_status, headers=headers)

    async def _run(self, request, request_id, fault):
        run = Run(
            request_id,
            request.headers.get("x-cache-salt"),
            self.version,
            request.headers.get("x-kv-source"),
            request.headers.get("x-tenant"),
            dict(request.headers),
            anyio.current_time(),
        )
        self.runs.append(run)
        if self.on_run is not None:
            self.on_run(run, request.extensions["target"], request.content)
        if fault in BREAKING and self.on_break is not None:
            self.on_break(request_id)
        if fault == "hang":
            await self._sleep_or_record(request_id, HANG_S)
        if fault == "reset":
            raise httpx.ReadError("reset")
        headers = {"X-Attempt-Id": request_id, "X-Response-Seal": f"seal-{self.instance}"}
        if fault in ENDLESS:
            stream = EndlessBody(self, request, fault)
            return httpx.Response(200, headers=headers, stream=stream, extensions={UNENDING: True})
        if fault == "refusal of another":
            rejected = {"X-Attempt-Id": "another", "X-Not-Executed": "1"}
            return httpx.Response(503, headers=rejected)
        if fault == "refusal of a health check":
            return httpx.Response(503, headers={"X-Not-Executed": "1"}, extensions={NAMELESS: True})
        run.is_own_answer = fault not in ("cross", "unsealed")
        if fault == "cross":
            headers["X-Attempt-Id"] = "another"
        if fault == "unsealed":
            del headers["X-Response-Seal"]
        if fault == "error":
            return httpx.Response(500, headers=headers, content=b"failed")
        if fault == "error_crash":
            stream = CrashingBody(self, [b"fai"], fault)
            return httpx.Response(500, headers=headers, stream=stream)
        if fault == "unproved":
            return httpx.Response(503, headers=headers, content=b"maybe")
        if self.model is None:
            await self.take_time(self.read_s)
            body = b"done by " + self.instance.encode()
            if self.names_request:
                body += b" for " + request_id.encode()
            if fault == "break":
                return httpx.Response(200, headers=headers, stream=TruncatedBody([body[:4]]))
            if fault in CRASHES:
                stream = CrashingBody(self, [body[:4]], fault)
                return httpx.Response(200, headers=headers, stream=stream)
            if fault == "unframed":
                return httpx.Response(200, headers=headers, stream=UnframedBody([body]))
            run.ended_s = anyio.current_time()
            return httpx.Response(200, headers=headers, content=body)
        headers["X-Weight-Versions"] = str(self.version)
        if fault == "text":
            headers["Content-Type"] = "text/plain"
            return httpx.Response(
                200, headers=headers, content=b"done by " + self.instance.encode()
            )
        after = int(request.headers.get("last-event-id") or 0)
        if fault not in UNFRAMED:
            headers["Transfer-Encoding"] = "chunked"
        stream = EventStream(self, run, after, fault)
        return httpx.Response(200, headers=headers, stream=stream)

    async def take_time(self, seconds):
        """Sleep; raise a read error if the process ends meanwhile, as a cut connection does."""
        until_s = anyio.current_time() + seconds
        while True:
            await anyio.sleep_until(min(until_s, anyio.current_time() + CRASH_CHECK_INTERVAL_S))
            if self.is_crashed:
                raise httpx.ReadError("connection reset")
            if anyio.current_time() >= until_s:
                return

    async def _sleep_or_record(self, request_id, seconds):
        try:
            await anyio.sleep(seconds)
        except BaseException:
            self.cancelled.append((anyio.current_time(), request_id))
            raise

    def _report(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        report = {"models": models, "utilization": self.is_loading, "seq": self.sequence}
        return httpx.Response(200, content=json.dumps(report).encode())

    async def _order(self, request):
        order = json.loads(request.content)
        if self.late_orders_s is not None:
            await anyio.sleep(self.late_orders_s)
        if request.headers.get("x-expect-instance") not in (None, self.instance):
            return httpx.Response(421)
        if order["fence_token"] < self.fence:
            return httpx.Response(412)
        if self.is_loading or order["if_revision"] != self.sequence:
            return httpx.Response(409)
        self.fence = order["fence_token"]
        self.sequence += 1
        self.orders.append((anyio.current_time(), order))
        self.is_loading = True
        self.load_mode = order["mode"]
        self.ends_load_s = anyio.current_time() + self.load_s
        self.loading_version = order["version"]
        if self.lose_order_answers:
            raise httpx.ReadError("answer lost")
        return httpx.Response(202)

    def tick(self):
        """Complete a load that is due; in "block" mode, a load starts after all runs have ended."""
        if self.is_loading and self.load_mode == "block" and self.num_running:
            self.ends_load_s = anyio.current_time() + self.load_s
        if self.is_loading and anyio.current_time() >= self.ends_load_s:
            self.is_loading = False
            self.version = self.loading_version


class EndlessBody(httpx.AsyncByteStream):
    """A body of bytes without end; those of a stream begin with one whole event."""

    def __init__(self, runner, request, fault):
        self._runner = runner
        number = int(request.headers.get("last-event-id") or 0) + 1
        token = f"{request.headers.get('x-attempt-id')} {runner.instance}"
        event = f"id: {number}\ndata: {token}\n\n".encode()
        has_event = fault == "endless_event" and number <= NUM_EVENTS
        self._begin = event if has_event else b""

    async def __aiter__(self):
        if self._begin:
            yield self._begin
        while True:
            await anyio.sleep(ENDLESS_INTERVAL_S)
            self._runner.num_endless_bytes += len(ENDLESS_PART)
            yield ENDLESS_PART


class EventStream(httpx.AsyncByteStream):
    """A stream of numbered events that a fault may break off, pause or stall."""

    def __init__(self, runner, run, after, fault):
        self._runner = runner
        self._run = run
        self._after = after
        self._fault = fault

    async def __aiter__(self):
        self._runner.num_running += 1
        try:
            await self._runner.take_time(self._runner.read_s)
            self._run.first_event_s = anyio.current_time()
            for number in range(self._after + 1, NUM_EVENTS + 1):
                event = f"data: {self._token(number)}\n\n".encode()
                if self._runner.numbers_events:
                    event = f"id: {number}\n".encode() + event
                if self._fault == "break" and number == 3:
                    yield event[:9]
                    raise httpx.RemoteProtocolError("incomplete chunked read")
                if self._fault == "end_before_event":
                    return
                if self._ends_process(number):
                    if self._fault == "crash_in_comment":
                        yield b": still wri"
                    self._runner.crash(self._fault)
                    return
                if self._fault == "end_inside" and number == 3:
                    yield event[:9]
                    return
                if self._fault == "end_before_blank" and number == NUM_EVENTS:
                    yield event[:-1]
                    return
                if self._fault == "crlf":
                    event = event.replace(b"\n", b"\r\n")
                if self._fault == "crlf_end_inside" and number == 3:
                    yield event[:-2] + b"\r\n"
                    return
                if self._fault == "stall" and number == 3:
                    await anyio.sleep(HANG_S)
                if self._fault.startswith("pause:") and number == 3:
                    await anyio.sleep(float(self._fault.removeprefix("pause:")))
                yield event
                await self._runner.take_time(self._runner.event_interval_s)
            self._run.ended_s = anyio.current_time()
            if self._fault == "crash_after":
                self._runner.crash(self._fault)
        finally:
            self._runner.num_running -= 1
            if self._run.ended_s is None:
                self._runner.cancelled.append((anyio.current_time(), self._run.request_id))

    def _ends_process(self, number):
        """Return whether the process ends before an event."""
        if self._fault == "crash_before_event":
            return True
        return self._fault in CRASHES and self._fault != "crash_after" and number == 3

    def _token(self, number):
        if self._runner.names_request:
            return f"{self._run.request_id} {self._runner.name_in_events or self._runner.instance}"
        return f"token-{number}"


class OccupyingBody(httpx.AsyncByteStream):
    """A body whose request occupies room at its runner until it is closed or ends."""

    def __init__(self, runner, stream):
        self._runner = runner
        self._stream = stream

    async def __aiter__(self):
        try:
            async for chunk in self._stream:
                yield chunk
        finally:
            self._runner.num_present -= 1


class UnframedBody(httpx.AsyncByteStream):
    """A body of which only the end of its connection marks the end."""

    def __init__(self, parts):
        self._parts = parts

    async def __aiter__(self):
        for part in self._parts:
            yield part


class CrashingBody(UnframedBody):
    """A body during which the process of its runner ends."""

    def __init__(self, runner, parts, fault):
        super().__init__(parts)
        self._runner = runner
        self._fault = fault

    async def __aiter__(self):
        async for part in super().__aiter__():
            yield part
        self._runner.crash(self._fault)


class TruncatedBody(httpx.AsyncByteStream):
    """A body whose connection is closed before its end."""

    def __init__(self, parts):
        self._parts = parts

    async def __aiter__(self):
        for part in self._parts:
            yield part
        raise httpx.RemoteProtocolError("peer closed connection")
