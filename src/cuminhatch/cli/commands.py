"""Table of the commands, and their selection by command line."""

from cuminhatch.cli.explain import plan_explain
from cuminhatch.cli.losses import plan_losses
from cuminhatch.cli.plans import (
    CommandError,
    Options,
    Plan,
    PlanMaker,
    plan_drain,
    plan_note_check,
    plan_note_history,
    plan_note_show,
    plan_note_submit,
    plan_status,
    plan_timeline,
)

COMMANDS: dict[tuple[str, ...], PlanMaker] = {
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
    Make the plan of the command on a command line.

    :param options: values of the flags.
    :param arguments: command line without program name and flags.
    :raises CommandError: the command is unknown or its arguments are
        invalid.
    """
    for words, plan_maker in COMMANDS.items():
        if tuple(arguments[: len(words)]) == words:
            return plan_maker(options, arguments[len(words) :])
    known = ", ".join(" ".join(words) for words in COMMANDS)
    given = " ".join(arguments) or "nothing"
    raise CommandError(f"unknown command: {given}; known commands are {known}")
