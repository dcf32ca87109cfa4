"""Steps of `recorded_forms.feature`."""

import msgspec
from behave import given, then, when

from features.support import recorded_forms
from weirscale.gateway.peers.messages import decode_message, encode_message


@given('the recorded forms of "{kind}"')
def step_recorded(context, kind):
    context.recorded = recorded_forms.recorded(kind)
    assert context.recorded, kind


@when('the message "{name}" is encoded')
def step_encode(context, name):
    context.message = recorded_forms.messages()[name]
    context.bytes = encode_message(context.message)
    context.recorded_bytes = bytes.fromhex(context.recorded[name])


@then("its bytes are the recorded ones")
def step_bytes(context):
    assert context.bytes == context.recorded_bytes, context.bytes.hex()


@then("a node that receives the recorded bytes reads the same message")
def step_read_back(context):
    assert decode_message(context.recorded_bytes) == context.message


@when('a node receives the recorded "{name}" of an earlier release')
def step_earlier(context, name):
    context.message = recorded_forms.earlier_messages()[name]
    context.read_message = decode_message(bytes.fromhex(context.recorded[name]))


@then("the node reads the content that the earlier release sent")
def step_earlier_read(context):
    assert context.read_message == context.message, context.read_message


@when('a node of the release before "{addition}" receives the message "{name}"')
def step_release_before(context, addition, name):
    context.addition = addition
    context.message = recorded_forms.messages()[name]
    encoded = encode_message(context.message)
    context.read_message = recorded_forms.read_by_release_before(addition, encoded)


@then("the node reads the same message without the added fields")
def step_release_before_read(context):
    read_fields = msgspec.structs.asdict(context.read_message)
    expected = msgspec.structs.asdict(context.message)
    for name in recorded_forms.FIELDS_SINCE[context.addition]:
        assert expected.pop(name), name
    assert read_fields == expected, read_fields


@when('the gateway writes the record "{name}"')
def step_write(context, name):
    context.written = recorded_forms.record(name)
    context.expected = context.recorded[name]


@then("its key and value are the recorded ones")
def step_written(context):
    key, value = context.written
    assert [key, value.hex()] == context.expected, (key, value.hex())


@when('the recorded value of "{name}" is read')
def step_read(context, name):
    key, value = context.recorded[name]
    context.read = recorded_forms.read_record(name, key, bytes.fromhex(value))


@then("the content is that of the example record")
def step_content(context):
    content, expected = context.read
    assert content == expected, (content, expected)


@when('the gateway makes the call "{name}"')
def step_call(context, name):
    context.call = recorded_forms.call(name)
    context.expected = context.recorded[name]


@then("the call's method, target, headers and body are the recorded ones")
def step_call_recorded(context):
    assert context.call == context.expected, context.call


@when("the events and fields that the gateway logs are listed")
def step_events(context):
    context.listed = recorded_forms.log_events()


@when("the metrics that a node exports are listed")
def step_metrics(context):
    context.listed = recorded_forms.metrics()


@then("the listed names are the recorded ones")
def step_listed(context):
    listed, expected = context.listed, context.recorded
    different = sorted(
        name for name in listed.keys() | expected.keys() if listed.get(name) != expected.get(name)
    )
    assert not different, {name: (listed.get(name), expected.get(name)) for name in different}
