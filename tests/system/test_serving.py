"""Tests of requests and notes over two daemons as real processes."""

from concurrent.futures import ThreadPoolExecutor

from tests.system.deployment import note, withdrawal

LONG_BYTES = 300_000


def test_either_daemon_serves_every_class(deployment):
    """Guards against parts that work alone and not together."""
    first, second = deployment.daemons
    for daemon in deployment.daemons:
        answer = daemon.get("/status?bytes=7")
        assert (answer.status, answer.body) == (200, b"x" * 7)
        assert answer.headers["cuminhatch-outcome"] == "ran"
        answer = daemon.get(f"/history?bytes={LONG_BYTES}")
        assert (answer.status, len(answer.body)) == (200, LONG_BYTES)
    given = first.confirm("k")
    assert (given.status, given.headers["cuminhatch-outcome"]) == (200, "ran")
    # The first answer is stored after it has been given.
    again = second.confirm("k")
    assert again.headers["cuminhatch-outcome"] in ("ran", "unknown")
    assert again.status == 504 or again.body == given.body
    assert len(deployment.runs(key="k")) == 1


def test_withdrawn_server_gets_nothing_new(deployment):
    """Guards against work sent to a server that is switched off."""
    for daemon in deployment.daemons:
        for _ in range(10):
            assert daemon.get("/status").status == 200
    deployment.daemons[0].submit(note("second", withdrawal("status-1")))
    deployment.wait_for_note(2)
    before = deployment.backends[0].request("GET", "/runs").value
    for daemon in deployment.daemons:
        for _ in range(10):
            assert daemon.get("/status").status == 200
    assert deployment.backends[0].request("GET", "/runs").value == before


def test_one_of_two_conflicting_notes_is_accepted(deployment):
    """Guards against two operators who undo each other unnoticed."""
    texts = [note(f"n{i}", withdrawal("status-1"), base=1) for i in range(2)]
    with ThreadPoolExecutor() as pool:
        answers = list(pool.map(lambda d, t: d.submit(t), deployment.daemons, texts))
    accepted, refused = sorted(answers, key=lambda answer: answer.status)
    assert (accepted.status, refused.status) == (200, 409)
    winner = f"n{answers.index(accepted)}"
    assert "status-1" in refused.value["reason"]
    assert winner in refused.value["reason"]
    deployment.wait_for_note(2)


def test_note_submitted_twice_is_one_note(deployment):
    """Guards against a repeated submission that counts twice."""
    text = note("same", withdrawal("status-1"))
    with ThreadPoolExecutor() as pool:
        answers = list(pool.map(lambda d: d.submit(text), deployment.daemons))
    assert [answer.status for answer in answers] == [200, 200]
    assert [answer.value["sequence"] for answer in answers] == [2, 2]
    history = deployment.daemons[0].operate("GET", "/notes").value["notes"]
    assert [accepted["note"]["id"] for accepted in history] == ["first", "same"]


def test_timeline_explains_a_request_and_a_note(deployment):
    """Guards against a question after an incident that nobody can answer."""
    deployment.daemons[1].get("/status", **{"X-Request-Id": "r-1"})
    shown = deployment.tool("timeline", "--request=r-1")
    assert shown.returncode == 0, shown.stderr
    (line,) = shown.stdout.splitlines()
    assert " entry-2 dispatch: answered request=r-1 " in line
    deployment.daemons[0].submit(note("second", withdrawal("status-1")))
    deployment.wait_for_note(2)
    shown = deployment.tool("timeline", "--note=2")
    assert shown.returncode == 0, shown.stderr
    events = {tuple(line.split()[1:4]) for line in shown.stdout.splitlines()}
    assert events == {
        ("entry-1", "notes:", "note-applied"),
        ("entry-1", "notes:", "note-decided"),
        ("entry-2", "notes:", "note-applied"),
    }
    lines = deployment.tool("timeline").stdout.splitlines()
    applied = [line.split(" note=")[1][0] for line in lines if "-applied" in line]
    assert applied == ["1", "1", "2", "2"]
