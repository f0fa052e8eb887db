"""The message about changes of the configuration."""

from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in effect."""

    configuration: Configuration
