"""The page of one run: figures, violations and plots in one HTML file that a person can read."""

import base64
import html
import io
from collections.abc import Callable
from typing import Any

import msgspec

from weirscale.experiments.faults.kinds import PlannedFault
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import NodeChanged, RefusalReceived
from weirscale.experiments.history.verdict import Fate, fate
from weirscale.experiments.report.figures import Figures, Percentiles, first_token_times_s

PLOT_SIZE_INCHES = (9.0, 3.2)
PLOT_DOTS_PER_INCH = 90
BUCKET_S = 1.0
MAX_LISTED_VIOLATIONS = 200

HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}}
table{{border-collapse:collapse;margin:1rem 0}}td,th{{border:1px solid #ccc;padding:.2rem .6rem;
text-align:left}}td.number{{text-align:right}}img{{max-width:100%}}.bad{{color:#a00}}
.good{{color:#070}}</style><h1>{title}</h1>
"""


def render_page(figures: Figures, history: History, faults: tuple[PlannedFault, ...]) -> str:
    """Return the page of a run; needs matplotlib."""
    parts = [HEAD.format(title=html.escape(f"{figures.name}, seed {figures.seed}"))]
    parts.append(_summary(figures))
    parts.append(_table("Requests", _request_rows(figures)))
    parts.append(_table("Measures", _measure_rows(figures)))
    parts.append(_table("Faults", [(f"{one.at_s:g} s", _fault_text(one)) for one in faults]))
    parts.append(_table("Traces of faults", _effect_rows(figures)))
    parts.append(_violations(figures))
    plots: tuple[tuple[str, Callable[[Any], None]], ...] = (
        ("Time to first token", lambda axes: _plot_first_tokens(axes, history, faults)),
        ("What became of the requests, by send time", lambda axes: _plot_fates(axes, history)),
        ("Changes of nodes and refusals", lambda axes: _plot_events(axes, history)),
    )
    parts.extend(_plot(title, draw) for title, draw in plots)
    return "".join(parts) + "</html>\n"


def _summary(figures: Figures) -> str:
    num_violations = len(figures.violations)
    mood = "bad" if num_violations or figures.num_internal_errors else "good"
    text = (
        f"{num_violations} violations, {figures.num_internal_errors} internal errors; "
        f"{figures.requests.answered_once} of {figures.requests.sent} requests answered once, "
        f"deployment {figures.deployment}, policy {figures.policy}, {figures.duration_s:g} s."
    )
    return f'<p class="{mood}">{html.escape(text)}</p>'


def _request_rows(figures: Figures) -> list[tuple[str, str]]:
    counts = msgspec.structs.asdict(figures.requests)
    rows = [(name.replace("_", " "), str(count)) for name, count in counts.items()]
    return rows + [(f"refused: {code}", str(n)) for code, n in figures.refusals.items()]


def _effect_rows(figures: Figures) -> list[tuple[str, str]]:
    counts = msgspec.structs.asdict(figures.effects)
    names = {name: name.removeprefix("num_").replace("_", " ") for name in counts}
    return [(names[name], str(count)) for name, count in counts.items() if count]


def _measure_rows(figures: Figures) -> list[tuple[str, str]]:
    return [
        ("prefix hit rate", _number(figures.prefix_hit_rate)),
        ("recomputed tokens ratio", _number(figures.recomputed_tokens_ratio)),
        ("time to first token, s", _percentiles(figures.ttft_seconds)),
        ("service answer, s", _percentiles(figures.service_seconds)),
        ("between tokens, s", _percentiles(figures.inter_token_seconds)),
        ("configuration in force, s", _percentiles(figures.configuration_in_force_seconds)),
        ("bytes a second to other nodes, a node", _number(figures.control.bytes_per_second)),
    ]


def _number(value: float | None) -> str:
    return "not measured" if value is None else f"{value:.4g}"


def _percentiles(values: Percentiles) -> str:
    return f"p50 {_number(values.p50)}, p95 {_number(values.p95)}, p99 {_number(values.p99)}"


def _fault_text(fault: PlannedFault) -> str:
    target = f" of {fault.target}" if fault.target else ""
    return f"{fault.kind.value}{target} for {fault.lasts_s:g} s"


def _table(title: str, rows: list[tuple[str, str]]) -> str:
    cells = "".join(
        f'<tr><td>{html.escape(name)}</td><td class="number">{html.escape(value)}</td></tr>'
        for name, value in rows
    )
    return f"<h2>{html.escape(title)}</h2><table>{cells}</table>" if rows else ""


def _violations(figures: Figures) -> str:
    listed = figures.violations[:MAX_LISTED_VIOLATIONS]
    rows = [(one.rule, f"{one.detail} {' '.join(one.request_ids)}") for one in listed]
    rows += [("internal error", error) for error in figures.internal_errors]
    return _table("Violations", rows)


def _plot(title: str, draw: Callable[[Any], None]) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE_INCHES, dpi=PLOT_DOTS_PER_INCH, layout="constrained")
    axes = figure.add_subplot()
    draw(axes)
    axes.set_xlabel("seconds of the run")
    image = io.BytesIO()
    figure.savefig(image, format="png")
    encoded = base64.b64encode(image.getvalue()).decode()
    alternative = html.escape(title)
    return f'<h2>{alternative}</h2><img alt="{alternative}" src="data:image/png;base64,{encoded}">'


def _plot_first_tokens(axes: Any, history: History, faults: tuple[PlannedFault, ...]) -> None:
    times = first_token_times_s(history)
    axes.scatter([at_s for at_s, _ in times], [time_s for _, time_s in times], s=4)
    for fault in faults:
        axes.axvspan(fault.at_s, fault.at_s + fault.lasts_s, alpha=0.12, color="red")
    axes.set_yscale("log")
    axes.set_ylabel("seconds")


def _plot_fates(axes: Any, history: History) -> None:
    buckets: dict[Fate, dict[int, int]] = {}
    for request_id, sent in history.sent.items():
        counts = buckets.setdefault(fate(history, request_id), {})
        bucket = int(sent.intended_at_s / BUCKET_S)
        counts[bucket] = counts.get(bucket, 0) + 1
    bottoms: dict[int, int] = {}
    for kind in Fate:
        counts = buckets.get(kind, {})
        if not counts:
            continue
        places = sorted(counts)
        heights = [counts[place] for place in places]
        under = [bottoms.get(place, 0) for place in places]
        axes.bar(places, heights, width=1.0, bottom=under, label=kind.value.replace("_", " "))
        for place, height in zip(places, heights, strict=True):
            bottoms[place] = bottoms.get(place, 0) + height
    axes.set_ylabel("requests a second")
    axes.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))


def _plot_events(axes: Any, history: History) -> None:
    changes = history.of_type(NodeChanged)
    nodes = sorted({changed.node for changed in changes})
    refusals = history.of_type(RefusalReceived)
    axes.scatter([one.at_s for one in refusals], [-1] * len(refusals), s=6, label="refusals")
    for kind in sorted({changed.change for changed in changes}, key=lambda one: one.value):
        those = [changed for changed in changes if changed.change is kind]
        heights = [nodes.index(changed.node) for changed in those]
        axes.scatter([one.at_s for one in those], heights, s=22, label=kind.value)
    axes.set_yticks(range(-1, len(nodes)), ["refusals", *nodes])
    axes.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))
