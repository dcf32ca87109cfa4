from behave import then, when

from features.support.claims_model_check import Explorer


@when("every history of the claim protocol is explored")
def step_explore(context):
    context.explorer = Explorer()
    context.history = context.explorer.search()


@when("every history of the claim protocol is explored with the fault that {broken_rule}")
def step_explore_broken(context, broken_rule):
    context.history = Explorer(broken_rule).search()


@then("no history runs the key twice")
def step_none(context):
    assert context.history is None, context.history


@then("more than {count:d} states were reached")
def step_states(context, count):
    assert context.explorer.num_states > count, context.explorer.num_states


@then("a history that grants both callers is found")
def step_found(context):
    grants = [step for step in context.history if step.startswith("grant to")]
    assert len(grants) == 2, context.history
