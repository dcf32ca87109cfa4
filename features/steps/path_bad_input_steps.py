"""Steps of `path_bad_input.feature`; `INPUTS` maps each input's name to its request."""

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


def chat_body(**changes):
    return json.dumps(CHAT | changes).encode()


def body_without(field):
    return json.dumps({k: v for k, v in CHAT.items() if k != field}).encode()


def chat_request(body):
    return CallerScript(body_parts=[body])


def completion_request(prompt):
    body = json.dumps({"model": MODEL, "prompt": prompt}).encode()
    return CallerScript(path="/v1/completions", body_parts=[body])


def request_with_header(name, value):
    return CallerScript(body_parts=[chat_body()], headers={name: value})


def nested_body(opening, closing, depth):
    return b'{"model":"qalam","messages":' + opening * depth + b"1" + closing * depth + b"}"


def request_to(path, method="POST", parts=(b"x",), **others):
    return CallerScript(method=method, path=path, body_parts=list(parts), **others)


FLOOD = {f"x-flood-{i}": "v" * 100 for i in range(400)}
DIGEST = hashlib.sha256(API_KEY.encode()).hexdigest()
LONG_BODY = [b"x" * 1000] * 1000

INPUTS = {
    "an empty body": chat_request(b""),
    "malformed JSON": chat_request(b'{"model": qalam}'),
    "JSON cut in the middle": chat_request(chat_body()[:-5]),
    "a JSON array": chat_request(b"[1, 2]"),
    "a JSON string": chat_request(b'"hello"'),
    "JSON 100000 arrays deep": chat_request(nested_body(b"[", b"]", 100_000)),
    "JSON 100000 objects deep": chat_request(b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "JSON one deeper than the limit": chat_request(nested_body(b"[", b"]", 8)),
    "deep JSON after an escaped quote": chat_request(
        b'{"a":"\\"","b":' + b"[" * 9 + b"]" * 9 + b"}"
    ),
    "invalid UTF-8 in a string": chat_request(chat_body().replace(b"hi", b"\xff\xfe")),
    "invalid UTF-8 outside strings": chat_request(b"\xff" + chat_body()),
    "a lone surrogate byte sequence": chat_request(chat_body().replace(b"hi", b"\xed\xa0\x80")),
    "no model": chat_request(body_without("model")),
    "a model that is a number": chat_request(chat_body(model=7)),
    "an unknown model": chat_request(chat_body(model="gpt-99")),
    "an unknown adapter": chat_request(chat_body(model=f"{MODEL}:klingon")),
    "no messages": chat_request(body_without("messages")),
    "empty messages": chat_request(chat_body(messages=[])),
    "messages that are a string": chat_request(chat_body(messages="hi")),
    "a message without content": chat_request(chat_body(messages=[{"role": "user"}])),
    "a message with a number as content": chat_request(
        chat_body(messages=[{"role": "user", "content": 1}])
    ),
    "a completion with a list as prompt": completion_request(["a"]),
    "an empty prompt": completion_request(""),
    "stream that is a string": chat_request(chat_body(stream="yes")),
    "n that is two": chat_request(chat_body(n=2)),
    "max_tokens that is a string": chat_request(chat_body(max_tokens="9")),
    "max_tokens that is true": chat_request(chat_body(max_tokens=True)),
    "max_tokens of zero": chat_request(chat_body(max_tokens=0)),
    "max_tokens over the limit": chat_request(chat_body(max_tokens=101)),
    "max_tokens beyond 64 bits": chat_request(chat_body(max_tokens=10**40)),
    "a declared length over the limit": request_with_header("content-length", "9" * 30),
    "a body over the limit in parts": CallerScript(body_parts=LONG_BODY),
    "a body that never ends": CallerScript(body_parts=LONG_BODY * 100),
    "half a body and then nothing": CallerScript(body_parts=[b"{", b"}"], stalls_after_parts=1),
    "a header flood": CallerScript(body_parts=[chat_body()], headers=FLOOD),
    "one huge header": request_with_header("x-huge", "v" * 100_000),
    "no key": CallerScript(body_parts=[chat_body()], has_key=False),
    "a wrong key": request_with_header("authorization", "Bearer nobody"),
    "the digest as key": request_with_header("authorization", f"Bearer {DIGEST}"),
    "a basic authorization": request_with_header("authorization", f"Basic {API_KEY}"),
    "a request id with a line break": request_with_header("x-request-id", "a\r\nset-cookie: b"),
    "a request id that is too long": request_with_header("x-request-id", "a" * 129),
    "a deadline that is a word": request_with_header("x-deadline-ms", "soon"),
    "a deadline of zero": request_with_header("x-deadline-ms", "0"),
    "a deadline of a year": request_with_header("x-deadline-ms", "31536000000"),
    "a repeatable that is a word": request_with_header("x-repeatable", "maybe"),
    "a priority that is a word": request_with_header("x-priority", "high"),
    "an idempotency key that is too long": request_with_header("idempotency-key", "k" * 256),
    "an empty idempotency key": request_with_header("idempotency-key", ""),
    "an unknown path": request_to("/v2/anything"),
    "a GET of completions": request_to("/v1/completions", "GET"),
    "a POST of models": request_to("/v1/models"),
    "an unknown service": request_to("/services/nobody/orders"),
    "a service without a name": request_to("/services/"),
    "a service body over the limit": request_to(ORDERS, parts=LONG_BODY),
    "half a service body and then nothing": request_to(
        ORDERS, parts=(b"a", b"b"), stalls_after_parts=1
    ),
}


def send_request(context, script):
    context.answer = run_in_virtual_time(call_app, context.node.app, script)
    return context.answer


@given("a node with small limits")
def step_node(context):
    context.node = PathNode(
        [ScriptedEngine("runner-1")], [ScriptedBackend("press-1")], callers=LIMITS
    )


@when('a caller sends "{name}"')
def step_send(context, name):
    send_request(context, INPUTS[name])


@when("a caller disconnects while sending its body")
def step_disconnect_in_body(context):
    send_request(context, CallerScript(body_parts=[b"{", b"}"], disconnects_after_parts=1))


@when("a caller sends {num:d} brackets in a string")
def step_brackets(context, num):
    content = '"[{' * num + "\\"
    send_request(context, chat_request(chat_body(messages=[{"role": "user", "content": content}])))


@then('the answer is {status:d} with code "{code}" and run status "{run_status}"')
def step_refused(context, status, code, run_status):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.is_ended and answer.error["code"] == code, answer.body
    assert answer.error["run_status"] == run_status == answer.headers["x-run-status"]
    assert answer.error["remedy"] and answer.error["message"]
    assert answer.error["request_id"] == answer.headers["x-request-id"]
    assert "\n" not in answer.headers["x-request-id"]
    assert answer.num_received_parts <= MAX_PARTS, "the node continued to read past the limit"


@then("no answer was sent")
def step_no_answer(context):
    assert context.answer.status == 0


@then("the answer is complete")
def step_complete(context):
    assert context.answer.is_complete and context.answer.text == FULL_ANSWER


@then("no back end was reached and the node serves the next request")
def step_no_back_end_reached(context):
    node = context.node
    assert not node.engines[0].calls and not node.backends[0].requests
    assert node.admission.num_admitted == 0 and node.drain.num_running == 0
    assert [name for name, _ in node.log.events] == ["request"], node.log.events
    assert send_request(context, CallerScript(body_parts=[generation_body()])).text == FULL_ANSWER


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
    def check_depth(value, limit):
        text = json.dumps(value).encode()
        assert is_deeper_than(text, limit) == (depth_of(value) > limit), text

    check_depth()
