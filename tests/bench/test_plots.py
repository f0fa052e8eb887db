"""Tests of the plots."""

from xml.etree import ElementTree

from bench.plots import draw_series


def test_plot_has_a_line_for_each_policy():
    """Guards against a plot that omits a policy or is not valid SVG."""
    series = {"random": {"0": 5, "3": 7}, "power-of-d": {"1": 9}}
    svg = ElementTree.fromstring(draw_series("macaulay", series, 100.0))
    assert len(svg.findall("{http://www.w3.org/2000/svg}polyline")) == 2
    assert "power-of-d" in "".join(svg.itertext())
