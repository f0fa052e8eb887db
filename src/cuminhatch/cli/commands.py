"""The commands of the operators' tool by their words."""

from cuminhatch.cli.explain import plan_explain
from cuminhatch.cli.losses import plan_losses
from cuminhatch.cli.plans import (
    CommandError,
    Maker,
    Options,
    Plan,
    plan_drain,
    plan_note_check,
    plan_note_history,
    plan_note_show,
    plan_note_submit,
    plan_status,
    plan_timeline,
)

COMMANDS: dict[tuple[str, ...], Maker] = {
    ("note", "check"): plan_note_check,
    ("note", "submit"): plan_note_submit,
    ("note", "show"): plan_note_show,
    ("note", "history"): plan_note_history,
    ("status",): plan_status,
    ("timeline",): plan_timeline,
    ("drain",): plan_drain,
    ("explain",): plan_explain,
    ("losses",): plan_losses,
}


def make_plan(options: Options, arguments: list[str]) -> Plan:
    """
    Find the command and make its plan.

    :param options: flags.
    :param arguments: words after the name of the program.
    :raises CommandError: the command is unknown or used wrongly.
    """
    for words, maker in COMMANDS.items():
        if tuple(arguments[: len(words)]) == words:
            return maker(options, arguments[len(words) :])
    known = ", ".join(" ".join(words) for words in COMMANDS)
    given = " ".join(arguments) or "nothing"
    raise CommandError(f"unknown command: {given}; known are {known}")
