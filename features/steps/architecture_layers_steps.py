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
    """Return the dotted names that a module imports, at the top or inside functions."""
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


@when("their imports of the project are listed")
def step_project_imports(context):
    context.imports = [
        (file, name)
        for file in context.modules
        for name in imported_names(file)
        if name.startswith(f"{PROJECT}.")
    ]
    assert context.imports


@when("all their imports are listed")
def step_all_imports(context):
    context.imports = [(file, name) for file in context.modules for name in imported_names(file)]
    assert context.imports


@then('each is of one of "{packages}"')
def step_each_allowed(context, packages):
    allowed = set(packages.split())
    wrong = [(str(file), n) for file, n in context.imports if n.split(".")[1] not in allowed]
    assert not wrong, wrong


@then('none is of "{module}"')
def step_none_of(context, module):
    wrong = [(str(file), n) for file, n in context.imports if n.split(".")[0] == module]
    assert not wrong, wrong


@when("their imports of the gateway are listed")
def step_gateway_imports(context):
    context.imports = [
        (file, name)
        for file in context.modules
        for name in imported_names(file)
        if name.startswith(f"{GATEWAY}.")
    ]


@then('each is of one of the gateway\'s "{packages}"')
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


@when("their imports of one another are listed")
def step_own_imports(context):
    context.imported = {
        module: {name for name in imported_names(file) if name in context.files}
        for module, file in context.files.items()
    }
    assert any(context.imported.values())


@then("no module is reached from itself")
def step_no_circle(context):
    left = dict(context.imported)
    while True:
        ends = [module for module, names in left.items() if not names & left.keys()]
        if not ends:
            break
        for module in ends:
            del left[module]
    assert not left, sorted(left)


def functions_of(file):
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return [one for one in ast.walk(ast.parse(file.read_text())) if isinstance(one, kinds)]


def num_arguments(function):
    """Return how many arguments a method takes besides the object itself."""
    arguments = function.args
    return len(arguments.posonlyargs + arguments.args + arguments.kwonlyargs) - 1


@then(
    "no module has over {lines:d} lines, no function over {length:d} "
    "and no constructor over {arguments:d} arguments"
)
def step_small(context, lines, length, arguments):
    found = []
    for module, file in context.files.items():
        if len(file.read_text().splitlines()) > lines:
            found.append(module)
        for function in functions_of(file):
            is_long = function.end_lineno - function.lineno >= length
            is_wide = function.name == "__init__" and num_arguments(function) > arguments
            if is_long or is_wide:
                found.append(f"{module}:{function.lineno} {function.name}")
    assert not found, found


@given("the table of mutations")
def step_mutations(context):
    context.mutations = tomllib.loads((Path("bench") / "mutations.toml").read_text())["mutation"]


@then("what each replaces stands once in its file, and its features are there")
def step_mutations_stand(context):
    stale = [
        f"{one['rule']}: {one['find']}"
        for one in context.mutations
        if not Path(one["file"]).exists()
        or Path(one["file"]).read_text().count(one["find"]) != 1
        or any(not Path("features", f"{name}.feature").exists() for name in one["features"])
    ]
    assert not stale, stale
