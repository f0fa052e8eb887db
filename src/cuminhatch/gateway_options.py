"""
The command line of ``cuminhatch-gateway``.

The module is loaded only where there are arguments: the platform gives none,
and callers wait for a daemon that starts again.
"""

from typing import NamedTuple

from absl import flags

from cuminhatch.errors import SettingsError

SETTINGS = flags.DEFINE_string("settings", None, "File with the settings, in TOML.")
CHECK = flags.DEFINE_bool("check", False, "Only tell whether the settings are valid.")


class Options(NamedTuple):
    """What the command line asks for."""

    settings_file: str | None
    is_check: bool


def read_options(arguments: list[str]) -> Options:
    """
    Read the command line.

    :param arguments: name of the program and its arguments.
    :raises SettingsError: an argument is not known; the text lists those
        that are.
    """
    try:
        others = flags.FLAGS(arguments)
    except flags.Error as error:
        raise SettingsError(f"{error}\n{flags.FLAGS.main_module_help()}") from error
    if len(others) > 1:
        raise SettingsError(f"unknown argument {others[1]}")
    return Options(SETTINGS.value, CHECK.value)
