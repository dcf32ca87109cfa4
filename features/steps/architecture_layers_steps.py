import ast
import functools
from pathlib import Path

from behave import given, then, when

SOURCE = Path("src")
PROJECT = "weirscale"


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
