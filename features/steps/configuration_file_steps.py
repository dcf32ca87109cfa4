from behave import then, when

from features.support.deployments import text_of
from weirscale.domain.configuration.parse import check_deployment

TEXTS = {
    "nothing": "",
    "an open bracket": "name: [",
    "a tab as indent": "regions:\n\t- name: a",
    "a null character": "name: \0",
    "100000 open brackets": "[" * 100_000,
    "doubling aliases": "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]",
    "two documents": "name: a\n---\nname: b",
    "five million characters": "#" * 5_000_000,
    "a list": "- name: a",
}
THREE_ERRORS = """
format: 1
nmae: x
name: x
regions: addis
models: []
engines: [{name: e, zone: z, adress: "127.0.0.1:1", address: "127.0.0.1:1", model: m}]
tenants: []
"""


def file_with(old):
    """Return the text of the shipped file that contains `old`, that of Tsehay if both do."""
    return next(text for text in map(text_of, ("tsehay", "startgrid")) if old in text)


@when('the deployment file "{name}" is checked')
def step_check_shipped(context, name):
    context.deployment = check_deployment(text_of(name)).unwrap()


@then(
    "it declares {zones:d} zones, {engines:d} engines, {backends:d} back ends and {tenants:d} tenants"
)
def step_sizes(context, zones, engines, backends, tenants):
    deployment = context.deployment
    counts = (
        sum(len(region.zones) for region in deployment.regions),
        len(deployment.engines),
        sum(len(service.backends) for service in deployment.services),
        len(deployment.tenants),
    )
    assert counts == (zones, engines, backends, tenants), counts


@then('only the route "{method} {path}" of its paths may not be repeated')
def step_unrepeatable(context, method, path):
    routes = context.deployment.services[0].routes
    unrepeatable = [
        (r.method, r.path_prefix) for r in routes if not r.repeatable and r.path_prefix != "/"
    ]
    assert unrepeatable == [(method, path)], unrepeatable


@when('the deployment file is checked with "{old}" replaced by "{new}"')
def step_replace(context, old, new):
    text = file_with(old)
    context.old_line = text[: text.index(old)].count("\n") + 1
    new = new.replace("\\n", "\n")
    context.error_line = context.old_line + new.count("\n")
    context.errors = check_deployment(text.replace(old, new, 1)).unwrap_err()


@then('the only error is at the replaced line, field "{field}", saying "{message}"')
def step_only_error(context, field, message):
    (error,) = context.errors
    assert (error.path, message in error.message) == (field, True), error
    assert error.remedy
    # Of two conflicting fields, the error names the later one in the file.
    assert error.line == context.error_line or "taken by engines" in error.message, error


@when("the deployment file is checked with a misspelt field, a wrong type and an unknown zone")
def step_three_errors(context):
    context.errors = check_deployment(THREE_ERRORS).unwrap_err()


@then("the errors name lines {first:d}, {second:d} and {third:d} in this order")
def step_lines(context, first, second, third):
    assert [error.line for error in context.errors] == [first, second, third], context.errors


@when("the second tenant's digest is {digest}")
def step_digest(context, digest):
    text = text_of("tsehay")
    digests = [line for line in text.splitlines() if "api_key_sha256" in line]
    first, second = digests[:2]
    changed = {
        "the first one's": first,
        "in upper case": second.upper().replace("API_KEY_SHA256", "api_key_sha256"),
        "cut short": second[:-2] + "]",
        "left out": "    api_key_sha256: []",
    }[digest]
    context.old_line = text[: text.index(second)].count("\n") + 1
    context.errors = check_deployment(text.replace(second, changed)).unwrap_err()


@when('every engine has the role "{role}"')
def step_roles(context, role):
    text = text_of("tsehay").replace("model: qalam", f"model: qalam\n    role: {role}")
    context.errors = check_deployment(text).unwrap_err()


@then('the error names the missing phase "{missing}"')
def step_missing_phase(context, missing):
    (error,) = context.errors
    assert error.message.endswith(f"serves {missing}"), error


@when("a file of {text} is checked")
def step_check_text(context, text):
    context.errors = check_deployment(TEXTS[text]).unwrap_err()


@then('the only error at {place} says "{message}"')
def step_text_error(context, place, message):
    (error,) = context.errors
    line = context.old_line if place == "its line" else int(place.removeprefix("line "))
    assert (error.line, message in error.message) == (line, True), error
    assert "\n" not in error.one_line("f")
