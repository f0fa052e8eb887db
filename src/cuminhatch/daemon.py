"""
The daemon ``cuminhatchd``, one process per instance.

Operators change its configuration by submitting notes.
"""

import os
import sys
from random import Random

from absl import app, flags

from cuminhatch.arguments import EXIT_USAGE, refuse_arguments
from cuminhatch.codecs.settings_toml import (
    OPERATORS_KEY_VARIABLE,
    Settings,
    parse_settings,
)
from cuminhatch.decisions.choice import BASELINES
from cuminhatch.errors import AddressError, SettingsError
from cuminhatch.kernel import Kernel
from cuminhatch.log import logger
from cuminhatch.program_help import ProgramHelp, exit_with_help
from cuminhatch.services import (
    BackendConnections,
    Claims,
    Dispatch,
    HttpClient,
    HttpListener,
    Metrics,
    Notes,
    NoteTransfer,
    Operators,
    Peers,
    Permits,
    Platform,
    PlatformAddresses,
    Probes,
    Supervisor,
    Timeline,
)
from cuminhatch.settings_file import read_settings_text

# Services to drain before the daemon exits, in this order: the last requests
# of callers may still claim idempotency keys.
DRAINED_SERVICES = ("callers", "claims")

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file, in TOML.")
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")
HELP = ProgramHelp(
    "cuminhatchd",
    "Runs one instance of the load balancer, which operators drive by notes.",
    (SETTINGS, CHECK),
    "cuminhatchd --settings entry.toml --check",
    "0 drained after SIGTERM, or the settings are valid; 2 usage or settings error",
    f"{OPERATORS_KEY_VARIABLE} holds the operators' key.",
)


def build_kernel(settings: Settings) -> Kernel:
    """
    Register the services of a daemon.

    :param settings: validated settings.
    :returns: a kernel with all services registered, not yet open.
    """
    kernel = Kernel()
    instance = settings.instance
    # Without a baseline policy, Dispatch uses power-of-d choices. The baseline
    # policies exist only for comparison with it.
    baseline = BASELINES.get(settings.choice_policy)
    peers = Peers(
        kernel,
        settings.peers.address,
        settings.peers.key,
        instance.instance_id,
        settings.peers.seeds,
    )
    services = (
        Supervisor(
            kernel,
            settings.drain.announce_ms,
            settings.drain.limit_ms,
            DRAINED_SERVICES,
        ),
        Timeline(kernel, instance.instance_id),
        Metrics(kernel),
        HttpClient(kernel),
        Platform(kernel, PlatformAddresses(*settings.platform[:3])),
        Notes(kernel, instance.instance_id, Random()),
        peers,
        Claims(kernel, instance.instance_id, peers.incarnation),
        Permits(
            kernel,
            instance.instance_id,
            peers.incarnation,
            settings.platform.list_lag_ms,
        ),
        NoteTransfer(kernel, settings.peers.address, settings.peers.key),
        Probes(kernel, instance.instance_id),
        Dispatch(
            kernel,
            instance.instance_id,
            instance.failure_domain,
            choose=baseline and baseline(Random()),
        ),
        BackendConnections(kernel),
        Operators(
            kernel,
            settings.operators.address,
            settings.operators.key,
            instance.instance_id,
        ),
        HttpListener(kernel, settings.callers_address, "dispatch"),
    )
    for service in services:
        kernel.register(service)
    return kernel


def load_settings(file_name: str | None) -> Settings:
    """
    Read and validate the settings file.

    :param file_name: value of ``--settings``.
    :raises SettingsError: the file is missing or invalid.
    """
    text = read_settings_text(file_name)
    return parse_settings(text, file_name, os.environ)


def open_kernel(settings: Settings, file_name: str) -> Kernel:
    """
    Create the kernel of a daemon and open its services.

    :param settings: validated settings.
    :param file_name: name of the settings file, for error messages.
    :returns: a kernel whose services are open.
    :raises SettingsError: an address cannot be bound.
    """
    kernel = build_kernel(settings)
    try:
        kernel.open()
    except AddressError as error:
        settings_keys = {
            settings.callers_address: "callers.address",
            settings.operators.address: "operators.address",
            settings.peers.address: "peers.address",
        }
        raise SettingsError(
            f"{file_name}: {settings_keys[error.address]}: {error}"
        ) from error
    return kernel


def run_daemon(arguments: list[str]) -> int:
    """
    Run the daemon until its drain has finished.

    :param arguments: program name and positional arguments.
    :returns: exit status.
    """
    refuse_arguments("cuminhatchd", arguments)
    try:
        settings = load_settings(SETTINGS.value)
        logger.configure(settings.instance.instance_id, settings.log_level)
        if CHECK.value:
            print(f"{SETTINGS.value}: valid")
            return 0
        kernel = open_kernel(settings, SETTINGS.value)
    except SettingsError as error:
        print(f"cuminhatchd: {error}", file=sys.stderr)
        return EXIT_USAGE
    logger.info("supervisor: Daemon started.")
    kernel.run()
    logger.info("supervisor: Daemon ended.")
    return 0


def main() -> None:
    """Run the daemon as a program."""
    exit_with_help(HELP)
    app.run(run_daemon)


if __name__ == "__main__":
    main()
