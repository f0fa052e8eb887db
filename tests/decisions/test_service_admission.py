"""Tests of admission control: the load of days with trouble, played again."""

from functools import lru_cache
from itertools import pairwise
from random import Random
from statistics import mean

import pytest

from cuminhatch.decisions.admission_level import admission_level
from cuminhatch.decisions.service_admission import ServiceAdmission
from cuminhatch.decisions.urgency import Urgency
from tests.decisions.admission_model import Kind, Model

SHORT, UPLOAD = Urgency(0, False), Urgency(2, True)
BOTH = (SHORT, UPLOAD)
TEAMS = tuple(f"team-{n}" for n in range(74))
DECLARATION = Kind("declaration", SHORT, 184, 587, 1_715, TEAMS)
DOSSIER = Kind("dossier", UPLOAD, 266, 2_237, 3_323, TEAMS)
LOOKUP = Kind("lookup", SHORT, 222, 690, 2_279, TEAMS[1:])
START_MS, END_MS = 1_000, 5_000
IMPATIENT_SHARE = 0.35


@lru_cache
def play_step(urgent_share, load, seed=1):
    """Offer ``load`` times the capacity for 4 s, else 0.6 times."""
    model = Model(22, BOTH, seed)
    for kind, share in ((DECLARATION, urgent_share), (DOSSIER, 1 - urgent_share)):
        for is_impatient in (False, True):
            rate = model.capacity * 1_000 / kind.work_ms * share
            rate *= IMPATIENT_SHARE if is_impatient else 1 - IMPATIENT_SHARE
            if rate:
                name = f"{kind.name}{'-impatient' * is_impatient}"
                callers = kind._replace(name=name)
                if is_impatient:
                    callers = callers._replace(patience=1 / 3)
                model.offer(callers, 0.6 * rate, 0, START_MS)
                model.offer(callers, load * rate, START_MS, END_MS)
                model.offer(callers, 0.6 * rate, END_MS, 8_000)
    model.run(8_000)
    return model


@pytest.mark.parametrize("seed", [1, 2])
def test_step_of_load_settles_without_overshoot_and_decays(seed):
    """
    Guards against a level that swings, or that stays after the load is gone.

    Load: a step to 1.5 times the capacity, a third of the callers impatient.
    """
    model = play_step(0.3, 1.5, seed)
    occupancy = model.list_means(1, START_MS, END_MS)
    level = model.list_means(2, START_MS, END_MS)
    settled, settled_level = mean(occupancy[8:]), mean(level[8:])
    # Bursts last for 3 s at least: settled within a third of that. A slot of a
    # server is a quarter of its occupancy.
    assert all(abs(value - settled) < 0.125 for value in occupancy[4:])
    assert all(abs(value - settled_level) < 0.25 for value in level[4:])
    assert max(occupancy) < settled + 0.125
    assert 0.85 < settled < 1.0
    # Callers still come back meanwhile with what was refused before.
    assert min(model.list_means(2, END_MS + 1_500, 8_000)) > 1.9
    for name in ("declaration", "declaration-impatient"):
        assert model.share(name, "in time") > 0.99


@pytest.mark.parametrize("seed", [1, 2])
def test_caller_that_repeats_more_often_gains_little(seed):
    """
    Guards against callers that get more because they don't wait as told.

    Load: a step to 1.5 times the capacity, a third of the callers repeats
    three times as often as told.
    """
    model = play_step(0.3, 1.5, seed)
    patient = model.share("dossier", "in time", "late")
    assert model.share("dossier-impatient", "in time", "late") - patient < 0.1


def test_service_without_urgent_work_stays_fully_used():
    """
    Guards against slots that are kept free for requests that don't come.

    Load: a step to 1.5 times the capacity, of uploads alone.
    """
    model = play_step(0.0, 1.5)
    assert min(model.list_means(1, START_MS + 1_000, END_MS)) > 0.97


def test_ranks_are_cut_one_after_the_other():
    """
    Guards against a rank that is admitted or refused all at once.

    Load: the occupancy rises from half to more than all slots.
    """
    shares = (0.0, 0.3, 0.6)
    levels = [admission_level(n / 200, shares) for n in range(100, 300)]
    assert (levels[0], levels[-1]) == (3.0, 1.0)
    # A noise of 0.005 changes little.
    assert all(0 <= a - b < 0.1 for a, b in pairwise(levels))


@pytest.mark.parametrize("occupancy", [0.85, 0.95])
def test_late_request_gives_way_to_others_of_its_rank(occupancy):
    """
    Guards against late requests that make others of their rank late as well.

    Load: servers that are nearly full.
    """
    admission = ServiceAdmission(BOTH, Random(1))
    for _ in range(20):
        urgent = admission.count_request(SHORT, "a", 0.0, 0.0)
        admission.record_load(round(400 * occupancy), 0, 400, 0.0)
    admitted = [0, 0, 0]
    for n in range(100):
        ticket = admission.count_request(UPLOAD, "b", 1.97 * n, 0.0)
        ticket = ticket._replace(is_excess=False)
        admitted[0] += admission.is_admitted(ticket, True, 0.0)
        admitted[1] += admission.is_admitted(ticket, False, 0.0)
        admitted[2] += admission.is_admitted(urgent, True, 0.0)
    assert admitted[0] < admitted[1]
    assert admitted[2] == 100


def test_more_urgent_callers_are_told_to_return_sooner():
    """
    Guards against urgent callers that come back after all slots are taken.

    Load: full servers. Callers with little time are told no more than they
    can wait, or all of them would return at the same moment.
    """
    admission = ServiceAdmission((*BOTH, Urgency(3, False)), Random(1))
    for n in range(8):
        admission.record_load(4, 2, 4, float(n))
    for is_admitted in (False, True):
        for left_ms in (3_000.0, 450.0):
            told = []
            for urgency in admission.urgencies:
                ticket = admission.count_request(urgency, "a", 0.0, 8.0)
                told.append(
                    admission.get_retry_after_ms(ticket, left_ms, 8.0, is_admitted)
                )
            assert told == sorted(told)
            assert 1.3 * told[-1] <= left_ms / 3
            assert told[0] < told[2] or left_ms < 3_000.0


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_of_uploads_leaves_declarations_in_time(seed):
    """
    Guards against uploads that take the slots of declarations.

    Load: uploads at 2.5 times their usual rate, on what is left of a service
    after the loss of most of its servers.
    """
    shares = {}
    for urgencies in ((), BOTH):
        model = Model(5, urgencies, seed)
        model.offer(DECLARATION, 40.9, 0, END_MS)
        model.offer(DOSSIER, 34.7, 0, START_MS)
        model.offer(DOSSIER, 34.7 * 2.5, START_MS, END_MS)
        model.run(8_000)
        shares[urgencies] = model.share("declaration", "in time")
        # No kind may be served less than a quarter as often as all.
        assert model.share("dossier", "in time", "late") > 0.25
    assert shares[()] < 0.9
    assert shares[BOTH] > 0.98


@pytest.mark.parametrize("seed", [1, 2])
def test_hot_team_gives_way_to_the_others(seed):
    """
    Guards against one team that takes the capacity of all others.

    Load: a team at 7 times its usual rate, requests of one rank only.
    """
    shares = {}
    hot = LOOKUP._replace(name="hot", teams=TEAMS[:1])
    for urgencies in ((), (SHORT,)):
        model = Model(15, urgencies, seed)
        model.offer(LOOKUP, 216, 0, 7_000)
        model.offer(hot, 11, 0, START_MS)
        model.offer(hot, 77, START_MS, 7_000)
        model.run(9_500)
        shares[urgencies] = model.share("lookup", "in time")
        hot_share = model.share("hot", "in time", "late")
    assert shares[(SHORT,)] > shares[()] + 0.05
    assert hot_share > 0.25 * model.share("lookup", "in time", "late")
