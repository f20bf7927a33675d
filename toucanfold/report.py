"""Converts the JSON lines of the bench into Markdown pages with plots."""

import json
import pathlib
import sys
from typing import Any

import matplotlib
from absl import flags

from toucanfold import cmdline, deployments, score

matplotlib.use("Agg")

from matplotlib import pyplot

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "folder", "docs/measurements", "Directory of the pages.", flag_values=FLAGS
)
flags.DEFINE_string("name", "bench", "Name of the page.", flag_values=FLAGS)
flags.DEFINE_string(
    "command",
    "toucanfold bench",
    "Command that produced the lines, as shown on the page.",
    flag_values=FLAGS,
)
HELP_TEXT = "Writes a page from files of JSON lines, or from standard input."

POLICIES = ("toucanfold", "naive")
PLOTS = {
    "goodput_ratio": "goodput / what capacity allows",
    "worst_account_ratio": "worst client account / its fair share",
    "harmful_success_ratio": "critical successes / what capacity allows",
    "recovery_s": "recovery (s)",
}
COLUMNS = score.FIELDS[4:]

Line = dict[str, Any]


def read_lines(texts: list[str]) -> list[Line]:
    """Return the JSON objects of all lines that are not empty."""
    return [json.loads(line) for text in texts for line in text.splitlines() if line]


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)


def table(lines: list[Line]) -> str:
    """Return a Markdown table with a row for each scenario and policy."""
    column_names = ["scenario", "policy", *COLUMNS]
    rows = [f"| {' | '.join(column_names)} |", "|" + "---|" * len(column_names)]
    for line in lines:
        cells = [line["scenario"], line["policy"]]
        cells += [_format_cell(line[name]) for name in COLUMNS]
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows)


def plot(lines: list[Line], field: str, path: pathlib.Path) -> None:
    """Draw a bar for each scenario and policy that has a value."""
    names = list(dict.fromkeys(line["scenario"] for line in lines))
    figure, axes = pyplot.subplots(figsize=(9, 3.5))
    width = 0.8 / len(POLICIES)
    for offset, policy in enumerate(POLICIES):
        values_by_scenario = {
            x["scenario"]: x[field] for x in lines if x["policy"] == policy
        }
        heights = [values_by_scenario.get(name) or 0.0 for name in names]
        bar_positions = [index + offset * width for index in range(len(names))]
        axes.bar(bar_positions, heights, width, label=policy)
    axes.set_xticks([index + width / 2 for index in range(len(names))])
    axes.set_xticklabels(names, rotation=30, ha="right")
    axes.set_ylabel(PLOTS[field])
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def describe_scaling(name: str) -> str:
    """Return a paragraph on how a deployment was scaled down."""
    deployment = deployments.DEPLOYMENTS[name]
    services = ", ".join(
        f"{service.name} {service.workers} x {service.service_ms:g} ms"
        for service in deployment.services
    )
    return (
        f"Four services of {deployments.TARGETS_PER_SERVICE} targets, concurrency per "
        f"target divided by {deployments.CONCURRENCY_DIVISOR}: {services}. "
        f"The mix saturates the first service at {deployment.capacity:.0f} requests/s; "
        f"the baseline load is {deployments.BASELINE_LOAD_FRACTION:.0%} of that. "
        f"{len(deployments.ACCOUNT_LOAD_FRACTIONS)} "
        f"client accounts; {deployment.client_delay_s * 1000:g} ms to clients."
    )


def write(lines: list[Line], folder: pathlib.Path, name: str, command: str) -> str:
    """Write the page and its plots into a directory; return the page's text."""
    folder.mkdir(parents=True, exist_ok=True)
    sections = [f"# Measurements: {name}", f"Command: `{command}`."]
    for deployment in dict.fromkeys(line["deployment"] for line in lines):
        deployment_lines = [line for line in lines if line["deployment"] == deployment]
        seeds = ", ".join(sorted({str(line["seed"]) for line in deployment_lines}))
        sections += [
            f"## {deployment}",
            describe_scaling(deployment),
            f"Seed: {seeds}.",
        ]
        sections.append(table(deployment_lines))
        for field, title in PLOTS.items():
            file = f"{name}-{deployment}-{field}.png"
            plot(deployment_lines, field, folder / file)
            sections.append(f"![{title}]({file})")
    text = "\n\n".join(sections) + "\n"
    (folder / f"{name}.md").write_text(text, "utf-8")
    return text


def main(arguments: list[str]) -> int:
    """Write the page of the given files, or of standard input."""
    files = cmdline.parse_flags(FLAGS, "report", arguments, HELP_TEXT)
    texts = [pathlib.Path(file).read_text("utf-8") for file in files]
    lines = read_lines(texts or [sys.stdin.read()])
    if not lines:
        return cmdline.report_usage_error(
            "the input has no JSON lines", "name a file of the bench's output"
        )
    write(lines, pathlib.Path(FLAGS.folder), FLAGS.name, FLAGS.command)
    return 0
