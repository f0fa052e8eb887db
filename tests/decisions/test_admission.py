"""Tests of the admission queue."""

from cuminhatch.decisions.admission import AdmissionQueue, NotAdmitted, Queued


def complete_at_rate(queue, per_second, duration_ms, now_ms=0.0):
    """Let requests end at a steady rate while one request waits."""
    queue.offer(-1, 1e9, 0.0, now_ms)
    for number in range(int(per_second * duration_ms / 1000)):
        queue.on_end(now_ms + number * 1000 / per_second)
    return now_ms + duration_ms


def test_earliest_deadline_is_served_first():
    """Guards against an urgent request that waits behind less urgent ones."""
    queue = AdmissionQueue()
    for request_id, deadline_ms in ((1, 900.0), (2, 300.0), (3, 600.0), (4, 300.0)):
        assert queue.offer(request_id, deadline_ms, 0.0, 0.0) == Queued()
    assert [queue.take() for _ in range(5)] == [2, 4, 3, 1, None]


def test_full_queue_refuses():
    """Guards against a queue that grows without limit under overload."""
    queue = AdmissionQueue(limit=2)
    assert queue.offer(1, 900.0, 0.0, 0.0) == Queued()
    assert queue.offer(2, 900.0, 0.0, 0.0) == Queued()
    assert queue.offer(3, 100.0, 0.0, 0.0) == NotAdmitted("queue-full")


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Guards against running requests whose callers have given up."""
    queue = AdmissionQueue()
    now_ms = complete_at_rate(queue, 100, 300.0)
    for request_id in range(10):
        queue.offer(request_id, now_ms + 5000.0, 0.0, now_ms)
    # Ten requests at 100 per second: 100 ms, 125 ms with the safety factor.
    late = queue.offer(20, now_ms + 5001.0, 5000.0, now_ms)
    assert late == NotAdmitted("deadline-too-near")
    # An earlier deadline is served before them.
    assert queue.offer(21, now_ms + 50.0, 5.0, now_ms) == Queued()
    late = queue.offer(22, now_ms + 3.0, 5.0, now_ms)
    assert late == NotAdmitted("deadline-too-near")


def test_burst_after_a_quiet_period_is_not_refused():
    """Guards against an arrival rate that is mistaken for the capacity."""
    queue = AdmissionQueue()
    for second in range(5):
        queue.on_end(second * 1000.0)
    for request_id in range(50):
        assert queue.offer(request_id, 7000.0, 5.0, 5000.0) == Queued()


def test_deadline_that_has_passed_is_refused():
    """Guards against queueing a request whose deadline has passed."""
    queue = AdmissionQueue()
    assert queue.offer(1, 10.0, 0.0, 10.0) == NotAdmitted("deadline-passed")


def test_removed_request_is_not_taken():
    """Guards against attempts for callers that have disconnected."""
    queue = AdmissionQueue()
    for request_id in (1, 2, 3):
        queue.offer(request_id, 100.0, 0.0, 0.0)
    assert queue.remove(2)
    assert not queue.remove(2)
    assert [queue.take(), queue.take()] == [1, 3]
    assert queue.length == 0
