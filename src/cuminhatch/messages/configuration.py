"""The message about the configuration in force."""

from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in force."""

    configuration: Configuration
