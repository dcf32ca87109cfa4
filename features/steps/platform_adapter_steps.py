"""Steps of `platform_adapter.feature`."""

import base64
import platform as standard_platform
import sysconfig
import tempfile
from pathlib import Path

import httpx
from behave import given, then, when

from features.support.platform_fleet import ADAPTER
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.ports.back_end import OutboundRequest
from weirscale.gateway.ports.callers import CallerRequest
from weirscale_platform.back_end_client import BackEndClientConnector
from weirscale_platform.items import StoreItem, read_item
from weirscale_platform.request_codec import HeaderCodec
from weirscale_platform.settings import SettingsUnreadableError, gateway_settings, read_node_file

ROOT = ADAPTER.parent
PROMPT_HEADERS = (b"x-model", b"x-prefix-hash", b"x-token-usage")
GOOD_FILE = """
node_name = "edge-1"
ip = "10.1.0.30"
zone = "hall"
internal_ports = [7340, 7355]
[listen]
frontend = "10.1.0.30:8782"
ready = "10.1.0.30:8789"
[platform]
address = "10.200.1.7:8784"
[bounds]
grace_s = 8
strict_revoke = true
revoke_ms = 5000
version_ms = 8000
retry_budget_ratio = 0.2
retry_extra = 54
"""


@given("the source files outside the adapter")
def step_files(context):
    folders = ("src", "bench", "scripts")
    context.files = [file for folder in folders for file in (ROOT / folder).rglob("*.py")]
    assert context.files


@then('no source file contains "{name}"')
def step_none_contains(context, name):
    offenders = [str(file) for file in context.files if name in file.read_text().lower()]
    assert not offenders, offenders


@then('no source file imports "{module}"')
def step_none_imports(context, module):
    offenders = [str(file) for file in context.files if module in file.read_text()]
    assert not offenders, offenders


@then("the adapter has fewer than {count:d} lines")
def step_small(context, count):
    lines = sum(len(file.read_text().splitlines()) for file in ADAPTER.rglob("*.py"))
    assert 0 < lines < count, lines


@then('the module "platform" is that of the standard library')
def step_standard_module(context):
    standard = Path(sysconfig.get_path("stdlib"))
    assert Path(standard_platform.__file__).parent == standard


@given('a settings file with "{change}"')
def step_file(context, change):
    text = GOOD_FILE
    if change == "no TOML":
        text = "= ="
    elif change.startswith("without "):
        field = change.removeprefix("without ")
        text = text.replace(f"[{field}]", "[other]").replace(f"{field} =", "other =")
    elif change == "a frontend without port":
        text = text.replace("10.1.0.30:8782", "10.1.0.30")
    elif change == "fields of a later release":
        text = "later = 1\n" + text + "later_ms = 3\n[still_later]\nx = 1\n"
    context.settings_text = None if change == "no file" else text


@when("the settings file is read")
def step_read(context):
    context.error = None
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        if context.settings_text is not None:
            path.write_text(context.settings_text)
        try:
            context.settings = gateway_settings(read_node_file(path))
        except SettingsUnreadableError as error:
            context.error = str(error)


@then('the error contains "{problem}"')
def step_error(context, problem):
    assert context.error is not None and problem in context.error, context.error
    assert "\n" not in context.error


@then(
    "the settings have a stop of {stop_s:g} s, weights in {weights_s:g} s, keys in {keys_s:g} s "
    "and a retry budget of {share:g} and {extra:g}"
)
def step_bounds(context, stop_s, weights_s, keys_s, share, extra):
    assert context.error is None, context.error
    bounds = context.settings.bounds
    assert (bounds.stop_s, bounds.weights_s, bounds.key_removal_s) == (stop_s, weights_s, keys_s)
    budget = context.settings.retry_budget
    assert (budget.share, budget.extra) == (share, extra)


@when('the item "{key}" with "{value}" is read')
def step_item(context, key, value):
    if value == "gone":
        item = StoreItem(key, 3, is_deleted=True)
    else:
        item = StoreItem(key, 3, base64.b64encode(value.encode()).decode())
    context.change = read_item(item)


@then('the resulting change is "{change}"')
def step_change(context, change):
    if change == "nothing":
        assert context.change is None
    else:
        assert type(context.change.change).__name__ == change, context.change
        assert context.change.revision == 3


@when('a request has the prompt headers "{model}", "{parts}", "{usage}"')
def step_prompt(context, model, parts, usage):
    parse_prompt(context, model, parts, usage)


@when('a request has the prompt headers "", "{parts}", "{usage}"')
def step_prompt_no_model(context, parts, usage):
    parse_prompt(context, "", parts, usage)


def parse_prompt(context, *values):
    headers = [
        (name, value.encode()) for name, value in zip(PROMPT_HEADERS, values, strict=True) if value
    ]
    scope = {
        "http_version": "1.1", "method": "POST", "raw_path": b"/a/", "query_string": b"",
        "headers": headers,
    }  # fmt: skip
    context.prompt = HeaderCodec().parse(scope).prompt


@then("its prompt has {num:d} parts and {tokens:d} tokens")
def step_has_parts(context, num, tokens):
    if num == 0:
        assert context.prompt is None
    else:
        assert (len(context.prompt.blocks), context.prompt.num_tokens) == (num, tokens)


class RecordingTransport(httpx.AsyncBaseTransport):
    """Answers with the given header fields; records whether it was closed, and closed while in use."""

    def __init__(self, headers, idle_s, failures=()):
        self.idle_s = idle_s
        self._failures = failures
        self.num_open = 0
        self.was_closed_in_use = False
        self.is_closed = False
        self._headers = headers

    async def handle_async_request(self, request):
        if self._failures:
            raise getattr(httpx, self._failures.pop())("simulated failure")
        self.num_open += 1
        return httpx.Response(200, headers=self._headers, stream=OpenBody(self))

    async def aclose(self):
        self.is_closed = True
        self.was_closed_in_use = self.num_open > 0


class OpenBody(httpx.AsyncByteStream):
    def __init__(self, transport):
        self._transport = transport

    async def __aiter__(self):
        yield b"done"

    async def aclose(self):
        self._transport.num_open -= 1


def outbound_request(number):
    request = CallerRequest(
        f"q{number}", "GET", b"/s/1", "h", "/s/1", None, 1.0, None, None, None, ()
    )
    return OutboundRequest(request, b"", "o-1", 1.0)


@given('a runner whose answers have the Keep-Alive header "{header}"')
def step_keep_alive(context, header):
    context.headers = {} if header == "none" else {"Keep-Alive": header}


@when("two requests are sent to it, the second while the answer to the first is incomplete")
def step_two_requests(context):
    context.transports = []

    def make(_connections, idle_s, source):
        context.transports.append(RecordingTransport(context.headers, idle_s))
        return context.transports[-1]

    async def body():
        back_end = BackEnd("o-1", "orders", "10.2.0.1:8080", "hall-a", BackEndState.READY, 4)
        port = BackEndClientConnector(make)(back_end, 4, lambda *_: None, None)
        async with port.send(outbound_request(1)), port.send(outbound_request(2)):
            assert not context.transports[0].is_closed
        context.was_closed = [transport.is_closed for transport in context.transports]
        await port.close()

    run_in_virtual_time(body)


@when('{count:d} requests to it end with "{failure}" and one is answered')
def step_failures(context, count, failure):
    context.transports = []
    failures = [failure] * count

    def make(_connections, idle_s, source):
        context.transports.append(RecordingTransport({}, idle_s, failures))
        return context.transports[-1]

    async def body():
        back_end = BackEnd("o-1", "orders", "10.2.0.1:8080", "hall-a", BackEndState.READY, 4)
        port = BackEndClientConnector(make)(back_end, 4, lambda *_: None, None)
        for number in range(count):
            async with port.send(outbound_request(number)) as sent:
                assert sent.is_err()
        async with port.send(outbound_request(count)) as sent:
            assert sent.is_ok()
        context.was_closed = [transport.is_closed for transport in context.transports]
        await port.close()

    run_in_virtual_time(body)


@then(
    'idle connections were kept for "{idle}" seconds, '
    "and each transport was closed after its last use"
)
def step_idle(context, idle):
    kept_s = [transport.idle_s for transport in context.transports]
    assert kept_s == [float(text) for text in idle.split(",")], kept_s
    assert not any(transport.was_closed_in_use for transport in context.transports)
    assert context.was_closed == [True] * (len(kept_s) - 1) + [False], context.was_closed
