import contextlib
import io

from behave import then, when

from weirscale.experiments.scale.main import fitted_slope, run


@when("hollow fleets of {first:d} and {second:d} nodes are measured")
def step_measure_fleets(context, first, second):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.exit_code = run((first, second))
    context.lines = output.getvalue().splitlines()


@then("both are sound and the report names traffic, processor time and slopes")
def step_measured(context):
    assert context.exit_code == 0, context.lines
    rows = [line.split() for line in context.lines if line[0].isdigit()]
    assert [row[0] for row in rows] == ["10", "14"], context.lines
    assert all(100 < float(row[1]) < 1200 for row in rows), "bytes a second are out of bounds"
    assert all(float(row[5]) < 5 and float(row[6]) < 3 for row in rows), "agreement took long"
    assert all(f"{tag}=" in " ".join(context.lines) for tag in ("mp", "ma"))
    assert any(line.startswith("bytes/s = ") for line in context.lines), context.lines


@then("the measurement is refused and names the least size")
def step_refused_size(context):
    assert context.exit_code == 2
    assert context.lines == ["sizes: 5 is too small; give at least 10 nodes"], context.lines


@then("the line through points of 3 + 0.5 x has intercept 3 and slope 0.5")
def step_slope(context):
    intercept, slope = fitted_slope([(x, 3 + 0.5 * x) for x in (1.0, 2.0, 7.0)])
    assert abs(intercept - 3) < 1e-9 and abs(slope - 0.5) < 1e-9
