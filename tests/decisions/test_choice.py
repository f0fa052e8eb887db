"""Tests of the load-balancing policies."""

from collections import Counter
from random import Random

import pytest

from cuminhatch.decisions.choice import (
    NotChosen,
    least_in_flight,
    power_of_d,
    random_choice,
    round_robin,
)
from cuminhatch.decisions.servers import LoadReport, ServerView, record_report
from tests.decisions._builders import make_server

POLICIES = {
    "power_of_d": lambda: power_of_d(2, Random(1)),
    "random": lambda: random_choice(Random(1)),
    "round_robin": round_robin,
    "least_in_flight": lambda: least_in_flight(Random(1)),
}


def make_views(count, near=()):
    return [
        ServerView(make_server(f"b{n}", port=n), 8, n in near) for n in range(count)
    ]


def count_choices(choose, views, total=600, now_ms=0.0):
    return Counter(choose(views, now_ms).server.server_id for _ in range(total))


@pytest.mark.parametrize("name", POLICIES)
def test_no_candidates_is_not_an_error(name):
    """Guards against an exception when all servers are busy."""
    assert isinstance(POLICIES[name]()([], 0.0), NotChosen)


@pytest.mark.parametrize("name", POLICIES)
def test_equal_servers_all_get_requests(name):
    """Guards against a policy that favours a position in the list."""
    chosen = count_choices(POLICIES[name](), make_views(4))
    assert len(chosen) == 4
    assert min(chosen.values()) > 100


def test_power_of_d_spreads_requests_despite_stale_reports():
    """Guards against all instances choosing the server reported as idle."""
    views = make_views(10)
    for view in views[1:]:
        record_report(view, LoadReport(3, 1, 3, 0.0))
    chosen = count_choices(power_of_d(2, Random(1)), views)
    assert chosen["b0"] < 600 / 3
    assert len(chosen) == 10


def test_power_of_d_avoids_the_most_loaded():
    """Guards against requests to a server that is known to be full."""
    views = make_views(6)
    record_report(views[3], LoadReport(3, 9, 3, 0.0))
    assert count_choices(power_of_d(2, Random(1)), views)["b3"] == 0


def test_near_server_is_preferred_while_it_is_not_more_loaded():
    """Guards against needless traffic between failure domains."""
    views = make_views(2, near={0})
    assert count_choices(power_of_d(2, Random(1)), views) == {"b0": 600}
    views[0].in_flight = 1
    assert count_choices(power_of_d(2, Random(1)), views) == {"b1": 600}
