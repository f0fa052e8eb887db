"""Tests of the log of a program."""

from cuminhatch.log import Log


def test_line_names_the_program_and_its_values(capsys):
    """Guards against lines that nobody can tell apart."""
    log = Log()
    log.configure("front-{1}", "INFO")
    log.warning("part: {} is {}.", "store", "away")
    written = capsys.readouterr().err
    assert "WARNING front-{1} part: store is away." in written


def test_lines_below_the_level_are_left_out(capsys):
    """Guards against a log that fills with what only developers need."""
    log = Log()
    log.configure("front-1", "WARNING")
    log.debug("a")
    log.info("b")
    log.warning("c")
    assert [line[-1] for line in capsys.readouterr().err.splitlines()] == ["c"]


def test_cause_of_a_failure_is_written(capsys):
    """Guards against a failed handler whose place is not known."""
    log = Log()
    log.configure("front-1", "INFO")
    try:
        raise ValueError("broken")
    except ValueError as error:
        log.error("kernel: failed.", cause=error)
    written = capsys.readouterr().err
    assert "kernel: failed." in written
    assert "ValueError: broken" in written


def test_silent_log_writes_nothing(capsys):
    """Guards against log lines between the answers of a tool."""
    log = Log()
    log.silence()
    log.error("a")
    assert not capsys.readouterr().err
