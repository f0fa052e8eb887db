"""Tests of the diagnostic log."""

from cuminhatch.log import Log


def test_line_contains_instance_id_and_values(capsys):
    """Guards against a missing instance id, also one that contains braces."""
    log = Log()
    log.configure("front-{1}", "INFO")
    log.warning("part: {} is {}.", "store", "away")
    written = capsys.readouterr().err
    assert "WARNING front-{1} part: store is away." in written


def test_lines_below_minimum_level_are_omitted(capsys):
    """Guards against debug lines that fill the log of an operator."""
    log = Log()
    log.configure("front-1", "WARNING")
    log.debug("a")
    log.info("b")
    log.warning("c")
    assert [line[-1] for line in capsys.readouterr().err.splitlines()] == ["c"]


def test_traceback_of_cause_is_logged(capsys):
    """Guards against a failed handler that cannot be located."""
    log = Log()
    log.configure("front-1", "INFO")
    try:
        raise ValueError("broken")
    except ValueError as error:
        log.error("kernel: failed.", cause=error)
    written = capsys.readouterr().err
    assert "kernel: failed." in written
    assert "ValueError: broken" in written


def test_silenced_log_writes_nothing(capsys):
    """Guards against log lines in the output of a command-line tool."""
    log = Log()
    log.silence()
    log.error("a")
    assert not capsys.readouterr().err
