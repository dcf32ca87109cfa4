"""Steps of `path_bad_input.feature`."""

import hashlib
import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.path_asgi import CallerScript, call_app
from features.support.path_engine import FULL_ANSWER, ScriptedEngine
from features.support.path_node import API_KEY, MODEL, PathNode, ScriptedBackend, generation_body
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import CallerLimits
from weirscale.node.callers.json_depth import is_deeper_than

LIMITS = CallerLimits(max_body_bytes=700_000, max_json_depth=8, body_timeout_s=5.0, max_tokens=100)
MAX_PARTS = LIMITS.max_body_bytes // 1000 + 2
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}]}
ORDERS = "/services/matemia/orders"


def chat(**changes):
    return json.dumps(CHAT | changes).encode()


def without(field):
    return json.dumps({k: v for k, v in CHAT.items() if k != field}).encode()


def raw(body):
    return CallerScript(body_parts=[body])


def completion(prompt):
    body = json.dumps({"model": MODEL, "prompt": prompt}).encode()
    return CallerScript(path="/v1/completions", body_parts=[body])


def with_header(name, value):
    return CallerScript(body_parts=[chat()], headers={name: value})


def nested(opening, closing, depth):
    return b'{"model":"qalam","messages":' + opening * depth + b"1" + closing * depth + b"}"


def at(path, method="POST", parts=(b"x",), **others):
    return CallerScript(method=method, path=path, body_parts=list(parts), **others)


FLOOD = {f"x-flood-{i}": "v" * 100 for i in range(400)}
DIGEST = hashlib.sha256(API_KEY.encode()).hexdigest()
LONG_BODY = [b"x" * 1000] * 1000

INPUTS = {
    "an empty body": raw(b""),
    "malformed JSON": raw(b'{"model": qalam}'),
    "JSON cut in the middle": raw(chat()[:-5]),
    "a JSON array": raw(b"[1, 2]"),
    "a JSON string": raw(b'"hello"'),
    "JSON 100000 arrays deep": raw(nested(b"[", b"]", 100_000)),
    "JSON 100000 objects deep": raw(b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "JSON one deeper than the limit": raw(nested(b"[", b"]", 8)),
    "deep JSON after an escaped quote": raw(b'{"a":"\\"","b":' + b"[" * 9 + b"]" * 9 + b"}"),
    "invalid UTF-8 in a string": raw(chat().replace(b"hi", b"\xff\xfe")),
    "invalid UTF-8 outside strings": raw(b"\xff" + chat()),
    "a lone surrogate byte sequence": raw(chat().replace(b"hi", b"\xed\xa0\x80")),
    "no model": raw(without("model")),
    "a model that is a number": raw(chat(model=7)),
    "an unknown model": raw(chat(model="gpt-99")),
    "an unknown adapter": raw(chat(model=f"{MODEL}:klingon")),
    "no messages": raw(without("messages")),
    "empty messages": raw(chat(messages=[])),
    "messages that are a string": raw(chat(messages="hi")),
    "a message without content": raw(chat(messages=[{"role": "user"}])),
    "a message with a number as content": raw(chat(messages=[{"role": "user", "content": 1}])),
    "a completion with a list as prompt": completion(["a"]),
    "an empty prompt": completion(""),
    "stream that is a string": raw(chat(stream="yes")),
    "n that is two": raw(chat(n=2)),
    "max_tokens that is a string": raw(chat(max_tokens="9")),
    "max_tokens that is true": raw(chat(max_tokens=True)),
    "max_tokens of zero": raw(chat(max_tokens=0)),
    "max_tokens over the limit": raw(chat(max_tokens=101)),
    "max_tokens beyond 64 bits": raw(chat(max_tokens=10**40)),
    "a declared length over the limit": with_header("content-length", "9" * 30),
    "a body over the limit in parts": CallerScript(body_parts=LONG_BODY),
    "a body that never ends": CallerScript(body_parts=LONG_BODY * 100),
    "half a body and then nothing": CallerScript(body_parts=[b"{", b"}"], stalls_after=1),
    "a header flood": CallerScript(body_parts=[chat()], headers=FLOOD),
    "one huge header": with_header("x-huge", "v" * 100_000),
    "no key": CallerScript(body_parts=[chat()], has_key=False),
    "a wrong key": with_header("authorization", "Bearer nobody"),
    "the digest as key": with_header("authorization", f"Bearer {DIGEST}"),
    "a basic authorization": with_header("authorization", f"Basic {API_KEY}"),
    "a request id with a line break": with_header("x-request-id", "a\r\nset-cookie: b"),
    "a request id that is too long": with_header("x-request-id", "a" * 129),
    "a deadline that is a word": with_header("x-deadline-ms", "soon"),
    "a deadline of zero": with_header("x-deadline-ms", "0"),
    "a deadline of a year": with_header("x-deadline-ms", "31536000000"),
    "a repeatable that is a word": with_header("x-repeatable", "maybe"),
    "a priority that is a word": with_header("x-priority", "high"),
    "an idempotency key that is too long": with_header("idempotency-key", "k" * 256),
    "an empty idempotency key": with_header("idempotency-key", ""),
    "an unknown path": at("/v2/anything"),
    "a GET of completions": at("/v1/completions", "GET"),
    "a POST of models": at("/v1/models"),
    "an unknown service": at("/services/nobody/orders"),
    "a service without a name": at("/services/"),
    "a service body over the limit": at(ORDERS, parts=LONG_BODY),
    "half a service body and then nothing": at(ORDERS, parts=(b"a", b"b"), stalls_after=1),
}


def send(context, script):
    context.answer = run_in_virtual_time(call_app, context.node.app, script)
    return context.answer


@given("a node with small limits")
def step_node(context):
    context.node = PathNode(
        [ScriptedEngine("runner-1")], [ScriptedBackend("press-1")], callers=LIMITS
    )


@when('a caller sends "{name}"')
def step_send(context, name):
    send(context, INPUTS[name])


@when("a caller leaves in the middle of its body")
def step_leave_in_body(context):
    send(context, CallerScript(body_parts=[b"{", b"}"], leaves_after_parts=1))


@when("a caller asks about {num:d} brackets in a string")
def step_brackets(context, num):
    content = '"[{' * num + "\\"
    send(context, raw(chat(messages=[{"role": "user", "content": content}])))


@then('the answer is {status:d} with code "{code}" and run status "{run_status}"')
def step_refused(context, status, code, run_status):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.is_ended and answer.error["code"] == code, answer.body
    assert answer.error["run_status"] == run_status == answer.headers["x-run-status"]
    assert answer.error["remedy"] and answer.error["message"]
    assert answer.error["request_id"] == answer.headers["x-request-id"]
    assert "\n" not in answer.headers["x-request-id"]
    assert answer.num_received_parts <= MAX_PARTS, "went on reading past the limit"


@then("nothing was answered")
def step_nothing(context):
    assert context.answer.status == 0


@then("the answer is complete")
def step_complete(context):
    assert context.answer.is_complete and context.answer.text == FULL_ANSWER


@then("no back end was reached and the node serves on")
def step_unreached(context):
    node = context.node
    assert not node.engines[0].calls and not node.backends[0].requests
    assert node.admission.num_admitted == 0 and node.drain.num_running == 0
    assert [name for name, _ in node.log.events] == ["request"], node.log.events
    assert send(context, CallerScript(body_parts=[generation_body()])).text == FULL_ANSWER


json_values = st.recursive(
    st.none() | st.integers() | st.text(alphabet='a"\\[]{}é', max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=2), inner, max_size=3)
    ),
    max_leaves=12,
)


def depth_of(value):
    if isinstance(value, dict):
        return 1 + max(map(depth_of, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(depth_of, value), default=0)
    return 0


@then("the depth check agrees with the depth of generated JSON")
def step_depth(context):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @for_all(json_values, st.integers(0, 4))
    def agrees(value, limit):
        text = json.dumps(value).encode()
        assert is_deeper_than(text, limit) == (depth_of(value) > limit), text

    agrees()
