"""Steps of `architecture_layers.feature`."""

import ast
import functools
import tomllib
from pathlib import Path

from behave import given, then, when

SOURCE = Path("src")
ADAPTER = Path("platform")
PROJECT = "weirscale"
GATEWAY = "weirscale.gateway"


@functools.cache
def imported_names(file):
    """Return the dotted names that a module imports, at its top level or inside functions."""
    names = []
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            names.append(node.module)
    return tuple(names)


@given('the modules of "{package}"')
def step_modules(context, package):
    context.modules = sorted(SOURCE.joinpath(*package.split(".")).rglob("*.py"))
    assert context.modules


@when("the imports of these modules from the project are listed")
def step_project_imports(context):
    context.imports = [
        (file, name)
        for file in context.modules
        for name in imported_names(file)
        if name.startswith(f"{PROJECT}.")
    ]
    assert context.imports


@when("all imports of these modules are listed")
def step_all_imports(context):
    context.imports = [(file, name) for file in context.modules for name in imported_names(file)]
    assert context.imports


@then('each import is of one of "{packages}"')
def step_each_allowed(context, packages):
    allowed = set(packages.split())
    wrong = [(str(file), n) for file, n in context.imports if n.split(".")[1] not in allowed]
    assert not wrong, wrong


@then('no import is of "{module}"')
def step_none_of(context, module):
    wrong = [(str(file), n) for file, n in context.imports if n.split(".")[0] == module]
    assert not wrong, wrong


@when("the imports of these modules from the gateway are listed")
def step_gateway_imports(context):
    context.imports = [
        (file, name)
        for file in context.modules
        for name in imported_names(file)
        if name.startswith(f"{GATEWAY}.")
    ]


@then('each import is of one of the gateway\'s "{packages}"')
def step_each_of_gateway(context, packages):
    allowed = set(packages.split())
    wrong = [(str(file), n) for file, n in context.imports if n.split(".")[2] not in allowed]
    assert not wrong, wrong


def module_name(file, root):
    parts = list(file.relative_to(root).with_suffix("").parts)
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


@given("the modules of the gateway and of its adapter")
def step_gateway_and_adapter(context):
    gateway = SOURCE.joinpath(*GATEWAY.split("."))
    context.files = {module_name(file, SOURCE): file for file in gateway.rglob("*.py")}
    context.files |= {module_name(file, ADAPTER): file for file in ADAPTER.rglob("*.py")}
    assert context.files


@when("the imports of these modules from one another are listed")
def step_own_imports(context):
    context.imported = {
        module: {name for name in imported_names(file) if name in context.files}
        for module, file in context.files.items()
    }
    assert any(context.imported.values())


@then("no module imports itself directly or through others")
def step_no_cycle(context):
    remaining = dict(context.imported)
    while True:
        leaves = [module for module, names in remaining.items() if not names & remaining.keys()]
        if not leaves:
            break
        for module in leaves:
            del remaining[module]
    assert not remaining, sorted(remaining)


def functions_of(file):
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return [node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, kinds)]


def num_arguments(function):
    """Return how many arguments a method takes besides `self`."""
    arguments = function.args
    return len(arguments.posonlyargs + arguments.args + arguments.kwonlyargs) - 1


@then(
    "no module has over {lines:d} lines, no function over {length:d} "
    "and no constructor over {arguments:d} arguments"
)
def step_small(context, lines, length, arguments):
    offenders = []
    for module, file in context.files.items():
        if len(file.read_text().splitlines()) > lines:
            offenders.append(module)
        for function in functions_of(file):
            is_long = function.end_lineno - function.lineno >= length
            is_wide = function.name == "__init__" and num_arguments(function) > arguments
            if is_long or is_wide:
                offenders.append(f"{module}:{function.lineno} {function.name}")
    assert not offenders, offenders


@given("the table of mutations")
def step_mutations(context):
    context.mutations = tomllib.loads((Path("bench") / "mutations.toml").read_text())["mutation"]


@then("the text that each mutation replaces occurs once in its file, and its features exist")
def step_mutations_apply(context):
    stale = [
        f"{mutation['rule']}: {mutation['find']}"
        for mutation in context.mutations
        if not Path(mutation["file"]).exists()
        or Path(mutation["file"]).read_text().count(mutation["find"]) != 1
        or any(not Path("features", f"{name}.feature").exists() for name in mutation["features"])
    ]
    assert not stale, stale
