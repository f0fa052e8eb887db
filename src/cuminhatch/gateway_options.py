"""
Command-line flags of ``cuminhatch-gateway``.

The module, and with it absl, is imported only if there are arguments. The
platform passes none, and callers wait while a daemon restarts.
"""

from typing import NamedTuple

from absl import flags

from cuminhatch.errors import SettingsError
from cuminhatch.platform.environment import SETTINGS_VARIABLE
from cuminhatch.program_help import ProgramHelp

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file, in TOML.")
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")
HELP = ProgramHelp(
    "cuminhatch-gateway",
    "Runs one instance on the users' platform, which the metadata store drives.",
    (SETTINGS, CHECK),
    "cuminhatch-gateway --settings gateway.toml --check",
    "0 drained after SIGTERM, or the settings are valid; 2 usage or settings error",
    f"{SETTINGS_VARIABLE} names the settings file if --settings does not.",
)


class Options(NamedTuple):
    """Values of the flags."""

    settings_file: str | None
    is_check_only: bool


def read_options(arguments: list[str]) -> Options:
    """
    Parse the command line.

    :param arguments: program name and command-line arguments.
    :raises SettingsError: a flag or an argument is unknown or invalid; if it
        is a flag, the message lists the known flags.
    """
    try:
        positional = flags.FLAGS(arguments)
    except flags.Error as error:
        raise SettingsError(f"{error}\n{flags.FLAGS.main_module_help()}") from error
    if len(positional) > 1:
        raise SettingsError(f"unknown argument {positional[1]}")
    return Options(SETTINGS.value, CHECK.value)
