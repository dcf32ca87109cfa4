import zlib

import cbor2
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from features.support.deployments import text_of
from features.support.generated import for_all
from features.support.large_deployment import large_deployment
from weirscale.domain.configuration.difference import (
    apply_delta,
    canonical,
    delta_between,
    differences,
    digest,
    render_plan,
)
from weirscale.domain.configuration.encode import (
    StoredConfiguration,
    decode_delta,
    decode_stored,
    encode_delta,
    encode_deployment,
    encode_stored,
)
from weirscale.domain.configuration.model import Deployment, Engine, Model
from weirscale.domain.configuration.parse import check_deployment

NAMES = st.sampled_from("abcdef")


def unique(strategy):
    return st.lists(strategy, max_size=6, unique_by=lambda item: item.name).map(tuple)


ENGINES = st.builds(
    Engine,
    name=NAMES,
    zone=NAMES,
    address=NAMES,
    model=NAMES,
    max_concurrent_requests=st.integers(1, 3),
)
MODELS = st.builds(Model, name=NAMES, weight_version=NAMES, load_timeout_s=st.floats(1, 5))
DEPLOYMENTS = st.builds(
    Deployment,
    format=st.just(1),
    name=NAMES,
    regions=st.just(()),
    models=unique(MODELS),
    engines=unique(ENGINES),
    tenants=st.just(()),
    drain_timeout_s=st.floats(1, 3),
).map(canonical)


@given('the shipped deployment "{name}"')
def step_shipped(context, name):
    context.source = text_of(name)


@when('the deployment text "{old}" becomes "{new}"')
def step_edit(context, old, new):
    before = check_deployment(context.source).unwrap()
    after = check_deployment(context.source.replace(old, new.replace("\\n", "\n"))).unwrap()
    context.plan = render_plan(differences(before, after))


@then('the configuration plan is "{plan}"')
def step_plan(context, plan):
    assert context.plan == plan.replace(" and ", "\n"), context.plan


@when("deltas between many pairs of generated deployments are encoded, decoded and applied")
def step_generated(context):
    context.num_shared = 0

    @for_all(100, DEPLOYMENTS, DEPLOYMENTS)
    def check(before, after):
        delta = decode_delta(encode_delta(delta_between(before, after))).unwrap()
        result = apply_delta(before, delta)
        assert result == after
        assert digest(result) == digest(after)
        old = {engine.name: engine for engine in before.engines}
        for engine in result.engines:
            if old.get(engine.name) == engine:
                assert engine is old[engine.name]
                context.num_shared += 1


@then("each result has the later deployment's content and digest, and reuses unchanged items")
def step_generated_result(context):
    assert context.num_shared > 0


@then("a deployment with every list reversed has the same canonical form and digest")
def step_order(context):
    deployment = check_deployment(text_of("tsehay")).unwrap()
    reversed_lists = msgspec.structs.replace(
        deployment, engines=deployment.engines[::-1], tenants=deployment.tenants[::-1]
    )
    assert reversed_lists != deployment
    assert canonical(reversed_lists) == canonical(deployment)
    assert digest(canonical(reversed_lists)) == digest(canonical(deployment))


@when("the stored form of a deployment is {damage}")
def step_damage(context, damage):
    stored = StoredConfiguration(large_deployment(), ())
    value = msgspec.to_builtins(stored)
    missing = {**value, "deployment": {**value["deployment"]}}
    del missing["deployment"]["regions"]
    encoded = encode_stored(stored)
    assert decode_stored(encoded).unwrap() == stored
    context.decoded = decode_stored(
        {
            "cut in half": encoded[: len(encoded) // 2],
            "not compressed": cbor2.dumps(value),
            "of a newer format": zlib.compress(cbor2.dumps({**value, "format": 2})),
            "missing a field": zlib.compress(cbor2.dumps(missing)),
            "a bomb of 100 megabytes": zlib.compress(bytes(100_000_000)),
        }[damage]
    )


@then('decoding it fails saying "{message}"')
def step_decode_fails(context, message):
    assert message in context.decoded.unwrap_err().detail, context.decoded


@given("a deployment of 1700 engines and 290 tenants")
def step_large(context):
    context.large = large_deployment()


@then(
    "its whole encoding is below {whole:d} bytes and the delta of one new weight version below {part:d}"
)
def step_sizes(context, whole, part):
    num_whole = len(encode_deployment(context.large))
    num_delta = len(encode_delta(delta_between(context.large, large_deployment(version="2"))))
    assert num_whole < whole and num_delta < part, (num_whole, num_delta)
    print(f"whole {num_whole} bytes, delta {num_delta} bytes")
