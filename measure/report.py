"""Writes an HTML page with the figures and plots of many runs."""

import html
from collections.abc import Sequence
from pathlib import Path

import matplotlib

from measure.workloads import Figures

matplotlib.use("Agg")

PAGE = """<!doctype html>
<meta charset="utf-8">
<title>plantainsail measures</title>
<h1>Measures</h1>
{sections}
"""


def write_report(directory: Path, results: Sequence[Figures]) -> None:
    """Write `index.html` and one plot for each scenario."""
    directory.mkdir(parents=True, exist_ok=True)
    sections: list[str] = []
    for name in dict.fromkeys(figures.name for figures in results):
        scenario_figures = [
            figures for figures in results if figures.name == name
        ]
        plot(directory / f"{name}.png", scenario_figures)
        rows = "".join(table_row(figures) for figures in scenario_figures)
        sections.append(
            f'<h2>{name}</h2><img src="{name}.png" alt="{name}">'
            f"<table>{rows}</table>"
        )
    page = PAGE.format(sections="\n".join(sections))
    (directory / "index.html").write_text(page, encoding="utf-8")


def table_row(figures: Figures) -> str:
    """Return one table row with the result of one seed."""
    verdict = "met" if figures.passes else "missed"
    ratios = html.escape(str(figures.ratios))
    return (
        f"<tr><td>seed {figures.seed}</td><td>{verdict}</td>"
        f"<td>{ratios}</td></tr>"
    )


def plot(file: Path, scenario_figures: Sequence[Figures]) -> None:
    """Plot the ratios of all seeds as bars."""
    from matplotlib import pyplot

    names = list(scenario_figures[0].ratios)
    figure, axes = pyplot.subplots(1, len(names), squeeze=False)
    figure.set_size_inches(3.2 * len(names), 2.4)
    for subplot, name in zip(axes[0], names, strict=True):
        seeds = [str(figures.seed) for figures in scenario_figures]
        subplot.bar(
            seeds, [figures.ratios[name] for figures in scenario_figures]
        )
        subplot.set_title(name)
        subplot.set_xlabel("seed")
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
