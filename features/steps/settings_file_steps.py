import tempfile
from pathlib import Path

from behave import given, then, when
from result import Err, Ok

from weirscale.node.settings import load_settings

KEYS = "peer_keys: [{key_id: 1, secret: a-shared-secret-of-tests}]"


@given('a settings file with zone "{zone}" and caller port {port:d}')
def step_settings_with_port(context, zone, port):
    step_settings_with_text(context, f"zone: {zone}\ncaller_port: {port}\n{KEYS}\n")


@given('a settings file with the text "{text}"')
def step_settings_with_text(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_file = Path(folder.name) / "node.yaml"
    context.settings_file.write_text(text)


@when("the settings are loaded with caller port {port:d} as a flag")
def step_load_with_flag(context, port):
    context.loaded = load_settings(context.settings_file, {"caller_port": port, "host": None})


@when("the settings are loaded without flags")
def step_load_without_flags(context):
    context.loaded = load_settings(context.settings_file, {})


@when("settings are loaded from a file that does not exist")
def step_load_missing(context):
    context.loaded = load_settings(Path("no-such-folder/node.yaml"), {})


@then('the node settings have zone "{zone}" and caller port {port:d}')
def step_has_fields(context, zone, port):
    assert isinstance(context.loaded, Ok), context.loaded
    settings = context.loaded.ok_value
    assert (settings.zone, settings.caller_port) == (zone, port)


@then('loading fails with a line about "{about}"')
def step_fails_about(context, about):
    assert isinstance(context.loaded, Err), context.loaded
    line = str(context.loaded.err_value)
    assert about in line, line
    assert "\n" not in line
