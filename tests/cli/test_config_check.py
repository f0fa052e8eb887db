"""Tests of the check of a configuration, as an operator runs it."""

from pathlib import Path

import orjson
import pytest

from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.plans import CommandError, Options

FILES = Path(__file__).parent / "configurations"
IN_FORCE = str(FILES / "in-force.json")
WRONG_FILES = sorted(set(FILES.glob("*.json")) - {Path(IN_FORCE)})
NOTE = 'id = "n1"\nauthor = "ann"\nsummary = "first"\n'
FAULTY_RULE = '[[rule]]\nid = "r1"\naction = "withdraw"\nport = 5\n'


def check(path, in_force="", **options):
    options = Options((), "", 0, 200, in_force=in_force, **options)
    return make_plan(options, ["config", "check", str(path)]).make_output([])


@pytest.mark.parametrize("path", WRONG_FILES, ids=lambda path: path.stem)
def test_wrong_file_is_explained(path, snapshot):
    """Guards against faults that are left out, and keys that are shown."""
    output = check(path, IN_FORCE)
    assert output.status == ("error" in {f["level"] for f in output.value})
    assert output.text.replace(f"{FILES}/", "") == snapshot
    assert b"key-" not in orjson.dumps(output.value)
    assert "key-" not in output.text


def test_correct_file_has_no_findings():
    """Guards against warnings on each usual configuration."""
    output = check(IN_FORCE, is_strict=True)
    assert (output.value, output.status) == ([], 0)


def test_warnings_fail_only_if_strict():
    """Guards against a strict check that passes over warnings."""
    path = FILES / "contradicting-limits.json"
    assert check(path).status == 0
    assert check(path, is_strict=True).status == 1
    # Changes are no fault.
    assert "0 errors, 0 warnings" in check(IN_FORCE).text


def test_settings_of_the_instances_decide():
    """Guards against flags that the check ignores."""
    path = FILES / "contradicting-limits.json"
    paths = {finding["path"] for finding in check(path).value}
    options = {"resend_ratio": 1.0, "quota_window_s": 0.1}
    others = {finding["path"] for finding in check(path, **options).value}
    assert paths - others == {"routes[0].max-attempts", "tenants[0].burst"}


def test_json_has_fixed_fields():
    """Guards against findings that a program can't rely on."""
    for path in WRONG_FILES:
        for finding in check(path, IN_FORCE).value:
            assert list(finding) == ["level", "path", "name", "value"] + [
                "message",
                "hint",
            ]
            assert finding["level"] in ("error", "warning", "change")


@pytest.mark.parametrize("name", ["note.toml", "note"])
def test_release_note_is_checked_as_such(tmp_path, name):
    """Guards against a note that is checked as a JSON document."""
    path = tmp_path / name
    path.write_text(NOTE + FAULTY_RULE)
    assert "rule r1: a withdrawal has no fields" in check(path).text
    assert check(path).status == 1
    path.write_text(NOTE + FAULTY_RULE.replace("port = 5", ""))
    assert check(path).status == 0
    with pytest.raises(CommandError, match="is a release note"):
        check(path, IN_FORCE)


def test_unreadable_files_are_usage_errors(tmp_path):
    """Guards against a missing file in force that looks like no change."""
    path = tmp_path / "empty.json"
    path.write_text("")
    with pytest.raises(CommandError, match="No such file"):
        check(tmp_path / "missing.json")
    for in_force in (tmp_path / "missing.json", path, FILES / "wrong-document.json"):
        with pytest.raises(CommandError, match=in_force.name):
            check(IN_FORCE, str(in_force))
    with pytest.raises(CommandError, match="exactly one file"):
        make_plan(Options((), "", 0, 200), ["config", "check"])
