"""The HTML page of a record: the views over time, the faults, the verdict.

It shows only what was recorded and checks nothing itself. matplotlib and jinja2 are in the extra ``lab``; no
proxy module imports this.
"""

from __future__ import annotations

import io
from typing import Any

import jinja2
import matplotlib
from markupsafe import Markup

matplotlib.use("svg")
from matplotlib.figure import Figure

from arrowseam.lab import scale_record
from arrowseam.lab.fault_record import STATES, Record
from arrowseam.lab.schedules import Schedule

STATE_COLOURS = {
    "alive": "#cfe8cf",
    "suspect": "#f4d35e",
    "dead": "#c44536",
    "gone": "#5b2333",
    "left": "#8a8a8a",
}

PLAY_TEMPLATE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; max-width: 75em }
table { border-collapse: collapse }
td, th { padding: .15em .8em .15em 0; text-align: left; vertical-align: top }
.bad { color: #a00 } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ members }} proxies, seed {{ seed }};
{% if settled is none %}<b class="bad">views did not become equal</b>
{% else %}all views equal {{ "%.2f"|format(settled) }} s after the last fault{% endif %};
clients:
{% for key, value in clients.items() %}{{ value }} {{ key }}{{ ", " if not loop.last }}{% endfor %}.</p>
<h2>Verdict</h2>
{% if broken %}<ul>{% for text in broken %}<li class="bad">{{ text }}</li>{% endfor %}</ul>
{% else %}<p>No violations.</p>{% endif %}
<h2>Member states by observer</h2>
<p>Each row is a member; the lines in it are its states as seen by each other member, in their order.
Grey bands: faults. Hatched: the process of the member did not run.</p>
{{ states }}
{% if outs %}<h2>Out of service, and the budget</h2>{{ outs }}{% endif %}
<h2>Faults</h2>
<table><tr><th>from, s</th><th>to, s</th><th>fault</th><th>members</th></tr>
{% for begin, end, fault, members in faults %}
<tr><td>{{ "%.2f"|format(begin) }}</td><td>{{ "%.2f"|format(end) }}</td>
<td>{{ fault }}</td><td>{{ members }}</td></tr>
{% endfor %}</table>
<h2>Log events</h2>
<table><tr><th>s</th><th>observer</th><th>event</th><th>about</th></tr>
{% for when, observer, event, about in events %}
<tr><td>{{ "%.2f"|format(when) }}</td><td>{{ observer }}</td><td>{{ event }}</td><td>{{ about }}</td></tr>
{% endfor %}</table>
</body></html>
""")


def page(record: Record, title: str) -> str:
    """Return the page of a play on real processes."""
    schedule = Schedule.read(record.schedule)
    return PLAY_TEMPLATE.render(
        title=title,
        members=schedule.members,
        seed=schedule.seed,
        settled=record.settled,
        clients=record.clients,
        broken=record.broken,
        states=_svg(_states_figure(record, schedule.members)),
        outs=_svg(_outs_figure(record)) if record.outs else "",
        faults=record.faults,
        events=[event for event in record.events if event[0] >= 0],
    )


SCALE_TEMPLATE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; max-width: 85em }
table { border-collapse: collapse }
td, th { padding: .15em .8em .15em 0; text-align: right; vertical-align: top }
td:first-child, th:first-child { text-align: left }
.bad { color: #a00 } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ r.plan.members }} members, {{ r.plan.real }} of them real proxies, {{ r.plan.zones }} zone(s), a probe
every {{ r.plan.period_ms }} ms, seed {{ r.plan.seed }}; {{ r.machine.cores }} cores; {{ r.began }};
largest sum of shares {{ "%.4f"|format(r.share) }}; clients:
{% for key, value in r.clients.items() %}{{ value }} {{ key }}{{ ", " if not loop.last }}{% endfor %}.</p>
{% for text in r.said %}<p>{{ text }}.</p>{% endfor %}
<h2>Verdict</h2>
{% if r.broken %}<ul>{% for text in r.broken %}<li class="bad">{{ text }}</li>{% endfor %}</ul>
{% else %}<p>No violations.</p>{% endif %}
<h2>Phases</h2>
<p>Bytes are the payload of datagrams and streams, out and in. Times are seconds from the last fault of the
phase ("known": from its beginning). "-": does not apply to this phase, or was not reached.</p>
<table><tr><th>fault</th><th>s</th><th>equal, s</th><th>known, s</th><th>full share, s</th>
<th>B/s median</th><th>worst</th><th>worst second</th><th>messages/s worst</th><th>cores per member</th>
<th>longest event, ms</th></tr>
{% for p in r.phases %}<tr><td>{{ p.fault }}: {{ p.about }}</td><td>{{ "%.0f"|format(p.begin) }}</td>
{% for key in ("equal", "known", "whole") %}<td>{{ "-" if p[key] is none else "%.1f"|format(p[key]) }}</td>
{% endfor %}
{% for key, form in (("bytes_median", "%.0f"), ("bytes_worst", "%.0f"), ("bytes_peak", "%.0f"),
("messages_worst", "%.1f"), ("host_cpu_a_member_median", "%.4f"), ("event_ms_worst", "%.1f")) %}
<td>{{ form|format(p.cost[key]) if key in p.cost else "-" }}</td>{% endfor %}</tr>
{% endfor %}</table>
{{ plots }}
</body></html>
""")


def scale_page(record: scale_record.Record, title: str) -> str:
    """Return the page of a scale run."""
    return SCALE_TEMPLATE.render(
        title=title, r=record, plots=_svg(_scale_plots(record)) if record.seconds else ""
    )


def _scale_plots(record: scale_record.Record) -> Figure:
    """Plot over time: bytes, longest event, reporting members and sum of shares."""
    times, members, median, worst, event, share = zip(*record.seconds)
    figure = Figure(figsize=(12, 10))
    rows: list[tuple[str, list[tuple[str, tuple[float, ...]]]]] = [
        ("bytes per second", [("median", median), ("worst", worst)]),
        ("longest event, ms", [("worst", event)]),
        ("reporting members", [("members", members)]),
        ("sum of shares", [("largest in each second", share)]),
    ]
    for axes, (label, lines) in zip(figure.subplots(len(rows), sharex=True), rows):
        for name, line in lines:
            axes.plot(times, line, label=name, lw=1)
        for phase in record.phases:
            axes.axvspan(
                phase["begin"], max(phase["ends"], phase["begin"] + 0.2), color="#000", alpha=0.1, lw=0
            )
            if label == "bytes per second":
                axes.text(
                    phase["begin"], 1.0, phase["fault"], transform=axes.get_xaxis_transform(), va="bottom"
                )
        if label == "bytes per second":
            axes.set_yscale("symlog", linthresh=100)
            axes.axhline(4096, ls=":", color="#a00", lw=1)
        axes.set_ylabel(label)
        axes.legend(frameon=False, loc="upper right")
    axes.set_xlabel("seconds; grey: a fault is active; dotted: 4 KB per second")
    return figure


def observed_states(record: Record, observer: str, member: str) -> list[tuple[float, float, str]]:
    """Return the states of ``member`` in the view of ``observer``: from, to, state."""
    spans, state, since = [], "alive", 0.0
    for when, who, event, whom in record.events:
        if who == observer and whom == member and when > 0 and event in STATES and STATES[event] != state:
            spans.append((since, when, state))
            state, since = STATES[event], when
    return [*spans, (since, record.ended, state)]


def down_spans(record: Record, name: str) -> list[tuple[float, float]]:
    """Return the spans in which no process of that name ran."""
    spans, since = [], None
    for when, who, what in record.lives:
        if who == name and what == "down":
            since = when
        elif who == name and since is not None:
            spans.append((since, when))
            since = None
    return [*spans, (since, record.ended)] if since is not None else spans


def _states_figure(record: Record, members: int) -> Figure:
    names = [f"n{n}" for n in range(members)]
    figure = Figure(figsize=(12, 1 + 0.45 * members))
    axes = figure.subplots()
    for row, member in enumerate(names):
        height = 0.8 / max(1, members - 1)
        observers = [name for name in names if name != member]
        for line, observer in enumerate(observers):
            for begin, end, state in observed_states(record, observer, member):
                axes.broken_barh(
                    [(begin, end - begin)],
                    (row - 0.4 + line * height, height),
                    facecolors=STATE_COLOURS[state],
                )
        for begin, end in down_spans(record, member):
            axes.broken_barh(
                [(begin, end - begin)],
                (row - 0.4, 0.8),
                facecolors="none",
                edgecolor="#333",
                hatch="///",
                lw=0,
            )
    for begin, end, *_ in record.faults:
        axes.axvspan(begin, max(end, begin + 0.02), color="#000", alpha=0.08, lw=0)
    axes.set_yticks(range(members), names)
    axes.invert_yaxis()
    axes.set_xlim(0, record.ended or 1)
    axes.set_xlabel("seconds")
    handles: list[Any] = [matplotlib.patches.Patch(color=c, label=s) for s, c in STATE_COLOURS.items()]
    axes.legend(handles=handles, ncols=5, loc="lower center", bbox_to_anchor=(0.5, 1.0), frameon=False)
    return figure


def _outs_figure(record: Record) -> Figure:
    figure = Figure(figsize=(12, 3))
    axes = figure.subplots()
    for kind in sorted({what for _, what, _, _ in record.outs}):
        rows = [(when, out, budget) for when, what, out, budget in record.outs if what == kind]
        times = [row[0] for row in rows]
        (line,) = axes.step(times, [row[1] for row in rows], where="post", label=f"{kind}: out")
        axes.step(
            times,
            [row[2] for row in rows],
            where="post",
            ls=":",
            color=line.get_color(),
            label=f"{kind}: budget",
        )
    axes.set_xlabel("seconds")
    axes.set_xlim(0, record.ended or 1)
    axes.legend(frameon=False)
    return figure


def _svg(figure: Figure) -> Any:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    return Markup(text[text.index("<svg") :])
