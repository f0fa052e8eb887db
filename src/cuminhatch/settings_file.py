"""Read settings files."""

from pathlib import Path

from cuminhatch.errors import SettingsError


def read_settings_text(file_name: str | None) -> str:
    """
    Return the text of a settings file.

    :param file_name: name of the file, None if not specified.
    :raises SettingsError: no file is specified or it cannot be read.
    """
    if not file_name:
        raise SettingsError("--settings: missing; give the path of the settings file")
    try:
        return Path(file_name).read_text()
    except OSError as error:
        raise SettingsError(f"{file_name}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{file_name}: not UTF-8 text") from error
