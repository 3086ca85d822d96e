"""Writes the result file, the report and the plots of an experiment."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bulrushlead.bench._result import (  # noqa: E402
    PERCENTILES,
    ExperimentResult,
    PolicyResult,
)
from bulrushlead.wire import codec  # noqa: E402

FIGURE_SIZE_INCHES = (9, 5)
DOTS_PER_INCH = 110


def write_report(result: ExperimentResult, folder: str) -> tuple[str, ...]:
    """Write the results as JSON, a Markdown report and plots.

    Parameters
    ----------
    result : ExperimentResult
        Results to report.
    folder : str
        Output folder, created if missing.

    Returns
    -------
    tuple of str
        Names of the files written.
    """
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    stem = result.name
    data = json.dumps(codec.to_plain(result), indent=1)
    (target / f"{stem}.json").write_text(data + "\n")
    _plot_percentiles(result, target / f"{stem}-latency.png")
    _plot_timeline(result, target / f"{stem}-outcomes.png")
    _plot_regions(result, target / f"{stem}-regions.png")
    (target / f"{stem}.md").write_text(_render_markdown(result))
    suffixes = (".json", ".md", "-latency.png", "-outcomes.png", "-regions.png")
    return tuple(f"{stem}{suffix}" for suffix in suffixes)


def _render_markdown(result: ExperimentResult) -> str:
    headings = ["policy", "rate/s", "good", "refused", "failed"]
    headings += [f"p{percentile:g} ms" for percentile in PERCENTILES]
    lines = [
        f"# {result.name}",
        "",
        f"Command: `{result.command}`, seed {result.seed}, version {result.version}, "
        f"{result.machine}.",
        "",
        "| " + " | ".join(headings) + " |",
        "|" + " --- |" * len(headings),
    ]
    for policy in result.policies:
        for step in policy.steps:
            cells = [policy.policy, f"{step.rate_rps:g}", step.good, step.refused]
            cells += [step.failed]
            cells += [f"{step.latency_ms(p):.1f}" for p in PERCENTILES]
            lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    lines.append("")
    for policy in result.policies:
        lines.append(
            f"- {policy.policy}: slot breaches {policy.slot_breaches}, repeated keys "
            f'{policy.repeated_keys}, false "not run" {policy.false_not_run}, last '
            f"new work after a drain {policy.drain_last_work_s:.2f} s, codes "
            f"{_format_codes(policy)}"
        )
    return "\n".join(lines) + "\n"


def _format_codes(policy: PolicyResult) -> str:
    totals: dict[str, int] = {}
    for step in policy.steps:
        for name, count in step.codes.items():
            totals[name] = totals.get(name, 0) + count
    return ", ".join(f"{n} {c}" for n, c in sorted(totals.items())) or "none"


def _plot_percentiles(result: ExperimentResult, path: Path) -> None:
    figure, axes = _new_figure()
    for policy in result.policies:
        for step in policy.steps:
            axes.plot(
                [f"p{p:g}" for p in PERCENTILES],
                [step.latency_ms(p) for p in PERCENTILES],
                marker="o",
                label=f"{policy.policy} at {step.rate_rps:g}/s",
            )
    axes.set_ylabel("latency of complete answers (ms)")
    axes.set_yscale("log")
    _save(figure, axes, f"{result.name}: latency percentiles", path)


def _plot_timeline(result: ExperimentResult, path: Path) -> None:
    figure, axes = _new_figure()
    for policy in result.policies:
        seconds = [record.second for record in policy.seconds]
        axes.plot(seconds, [r.good for r in policy.seconds], label=policy.policy)
        unserved = [record.refused + record.failed for record in policy.seconds]
        axes.plot(seconds, unserved, linestyle=":", label=f"{policy.policy} not served")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("requests per second")
    _save(
        figure, axes, f"{result.name}: complete answers and requests not served", path
    )


def _plot_regions(result: ExperimentResult, path: Path) -> None:
    figure, axes = _new_figure()
    policy = result.policies[0]
    regions = sorted({region for r in policy.seconds for region in r.by_region})
    for region in regions:
        shares = [
            100 * r.by_region.get(region, 0) / max(1, sum(r.by_region.values()))
            for r in policy.seconds
        ]
        axes.plot([r.second for r in policy.seconds], shares, label=region)
    if result.shift_percent_cap > 0:
        axes.axhline(result.shift_percent_cap, color="black", linestyle="--")
        axes.text(0, result.shift_percent_cap, "cap of the shift")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("share of executions (%)")
    title = f"{result.name}: share of each region ({policy.policy})"
    _save(figure, axes, title, path)


def _new_figure():
    return pyplot.subplots(figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH)


def _save(figure, axes, title: str, path: Path) -> None:
    axes.set_title(title)
    axes.grid(visible=True, alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
