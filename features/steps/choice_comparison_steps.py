import msgspec
from behave import then, when

from weirscale.experiments.choice.main import run

POLICIES = ("rendezvous_bounded", "prefix_aware", "oracle")
SEED = 61


def compare(context):
    results = run(
        context.deployment,
        seed=SEED,
        duration_s=context.duration_s,
        policies=POLICIES,
        load=context.load,
    )
    return {result.policy: result for result in results}


@when(
    'the policies are compared on "{deployment}" for {seconds:d} virtual seconds at {load:g} of the load'
)
def step_compare(context, deployment, seconds, load):
    context.deployment, context.duration_s, context.load = deployment, float(seconds), load
    context.results = compare(context)


@when("they are compared again")
def step_again(context):
    context.again = compare(context)


@then('"{policy}" hits at least {share:g} of what "{other}" hits')
def step_hits(context, policy, share, other):
    hit_rates = {name: result.hit_rate for name, result in context.results.items()}
    assert hit_rates[policy] >= share * hit_rates[other], hit_rates


@then('"{policy}" hits more and has a lower p99 than "{other}"')
def step_beats(context, policy, other):
    better, worse = context.results[policy], context.results[other]
    assert better.hit_rate > worse.hit_rate and better.ttft_p99_s < worse.ttft_p99_s


@then("both comparisons are equal but for their wall time")
def step_equal(context):
    def timeless(results):
        return {name: msgspec.structs.replace(each, wall_s=0.0) for name, each in results.items()}

    assert timeless(context.results) == timeless(context.again)
