"""Tests of requests and notes with two daemons as processes."""

from concurrent.futures import ThreadPoolExecutor

from tests.system.deployment import make_note, make_withdrawal

LONG_BYTES = 300_000


def test_either_daemon_serves_every_class(deployment):
    """Guards against components that work alone but not together."""
    first, second = deployment.daemons
    for daemon in deployment.daemons:
        response = daemon.get("/status?bytes=7")
        assert (response.status, response.body) == (200, b"x" * 7)
        assert response.headers["cuminhatch-outcome"] == "ran"
        response = daemon.get(f"/history?bytes={LONG_BYTES}")
        assert (response.status, len(response.body)) == (200, LONG_BYTES)
    first_response = first.confirm("k")
    assert (first_response.status, first_response.headers["cuminhatch-outcome"]) == (
        200,
        "ran",
    )
    # The first response is stored after it has been sent.
    second_response = second.confirm("k")
    assert second_response.headers["cuminhatch-outcome"] in ("ran", "unknown")
    assert second_response.status == 504 or second_response.body == first_response.body
    assert len(deployment.runs(key="k")) == 1


def test_withdrawn_server_gets_no_new_requests(deployment):
    """Guards against requests to a withdrawn server."""
    for daemon in deployment.daemons:
        for _ in range(10):
            assert daemon.get("/status").status == 200
    deployment.daemons[0].submit(make_note("second", make_withdrawal("status-1")))
    deployment.wait_for_note(2)
    before = deployment.backends[0].request("GET", "/runs").value
    for daemon in deployment.daemons:
        for _ in range(10):
            assert daemon.get("/status").status == 200
    assert deployment.backends[0].request("GET", "/runs").value == before


def test_one_of_two_conflicting_notes_is_accepted(deployment):
    """Guards against operators who overwrite each other without notice."""
    texts = [make_note(f"n{i}", make_withdrawal("status-1"), base=1) for i in range(2)]
    with ThreadPoolExecutor() as pool:
        responses = list(pool.map(lambda d, t: d.submit(t), deployment.daemons, texts))
    accepted, refused = sorted(responses, key=lambda response: response.status)
    assert (accepted.status, refused.status) == (200, 409)
    winner = f"n{responses.index(accepted)}"
    assert "status-1" in refused.value["reason"]
    assert winner in refused.value["reason"]
    deployment.wait_for_note(2)


def test_note_submitted_twice_is_one_note(deployment):
    """Guards against a repeated submission that is accepted twice."""
    text = make_note("same", make_withdrawal("status-1"))
    with ThreadPoolExecutor() as pool:
        responses = list(pool.map(lambda d: d.submit(text), deployment.daemons))
    assert [response.status for response in responses] == [200, 200]
    assert [response.value["sequence"] for response in responses] == [2, 2]
    history = (
        deployment.daemons[0].send_operator_request("GET", "/notes").value["notes"]
    )
    assert [accepted["note"]["id"] for accepted in history] == ["first", "same"]


def test_timeline_explains_a_request_and_a_note(deployment):
    """Guards against events that the timeline does not show."""
    deployment.daemons[1].get("/status", **{"X-Request-Id": "r-1"})
    shown = deployment.run_cli("timeline", "--request=r-1")
    assert shown.returncode == 0, shown.stderr
    (line,) = shown.stdout.splitlines()
    assert " entry-2 dispatch: answered request=r-1 " in line
    deployment.daemons[0].submit(make_note("second", make_withdrawal("status-1")))
    deployment.wait_for_note(2)
    shown = deployment.run_cli("timeline", "--note=2")
    assert shown.returncode == 0, shown.stderr
    events = {tuple(line.split()[1:4]) for line in shown.stdout.splitlines()}
    assert events == {
        ("entry-1", "notes:", "note-applied"),
        ("entry-1", "notes:", "note-decided"),
        ("entry-2", "notes:", "note-applied"),
    }
    lines = deployment.run_cli("timeline").stdout.splitlines()
    applied = [line.split(" note=")[1][0] for line in lines if "-applied" in line]
    assert applied == ["1", "1", "2", "2"]
