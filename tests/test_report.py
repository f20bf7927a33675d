import pytest

from toucanfold import capacity, report, score


def test_page_holds_every_line_and_its_plots(tmp_path):
    """A line missing from the page would hide a result."""
    line = dict.fromkeys(score.FIELDS)
    line |= {"scenario": "steady", "deployment": "pendulum", "seed": 3}
    line |= {"goodput_ratio": 0.5, "double_runs": 2}
    lines = [{**line, "policy": policy} for policy in report.POLICIES]
    text = report.write(lines, tmp_path, "bench", "toucanfold bench")
    assert text.count("| steady |") == 2
    assert "| 0.5 |" in text
    images = list(tmp_path.glob("*.png"))
    assert len(images) == len(report.PLOTS)
    assert all(image.name in text for image in images)


def test_slopes_come_from_all_points():
    """CAPACITY.md extrapolates from the slope, so it must fit the points."""
    points = {"cores": [(100.0, 0.3), (200.0, 0.5), (300.0, 0.7)]}
    (line,) = capacity.fit("daemon", "calls/s", points)
    assert line["slope"] == pytest.approx(0.002)
    assert line["intercept"] == pytest.approx(0.1)
