"""Steps for the exhaustive exploration of the claim log."""

from behave import then, when

from features.support.claims_log_model import LogExplorer


@when("all histories of the claim log are explored")
def step_explore(context):
    context.explorer = LogExplorer()
    context.history = context.explorer.search()


@when('all histories of the claim log are explored while "{rule}"')
def step_explore_broken(context, rule):
    context.history = LogExplorer(rule).search()


@then("no history of the claim log runs the key twice")
def step_none(context):
    assert context.history is None, context.history


@then("more than {count:d} states were reached, more than a tenth of that number after a load")
def step_states(context, count):
    assert context.explorer.num_states > count, context.explorer.num_states
    assert context.explorer.num_loaded > count / 10, context.explorer.num_loaded


@then("a history of the claim log that runs the key twice is found")
def step_found(context):
    assert context.history is not None
