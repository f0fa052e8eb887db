"""The daemon ``cuminhatch-gateway``: serves what a store describes."""

import os
import sys

from absl import flags
from loguru import logger

from cuminhatch.address import Address
from cuminhatch.codecs.gateway_toml import (
    GatewaySettings,
    StopSettings,
    parse_gateway_settings,
)
from cuminhatch.decisions.resending import ResendLimits
from cuminhatch.errors import AddressError, SettingsError
from cuminhatch.kernel import Kernel
from cuminhatch.platform.documents import decode_configuration
from cuminhatch.platform.environment import SETTINGS_VARIABLE
from cuminhatch.platform.headers import DIALECT
from cuminhatch.platform.store import PlatformStore
from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.catalog import PORT_NAME as CATALOG_PORT, CatalogService
from cuminhatch.services.event_log import EventLog
from cuminhatch.services.forwarding import Forwarding, ForwardingSettings
from cuminhatch.services.http_client import HttpClient
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.loads import Loads
from cuminhatch.services.metrics import PORT_NAME as METRICS_PORT, Metrics
from cuminhatch.services.readiness import PORT_NAME as READINESS_PORT, Readiness
from cuminhatch.services.settings_reload import SettingsReload
from cuminhatch.services.supervisor import Supervisor
from cuminhatch.settings_file import read_settings_text

USAGE_STATUS = 2
DRAINING_PARTS = ("callers",)
# Time to end the process itself before it is killed.
STOP_RESERVE_MS = 300.0

SETTINGS = flags.DEFINE_string("settings", None, "File with the settings, in TOML.")
CHECK = flags.DEFINE_bool("check", False, "Only tell whether the settings are valid.")


def build_kernel(settings: GatewaySettings, file_name: str) -> Kernel:
    """
    Register the services of a daemon.

    :param settings: checked settings.
    :param file_name: file that they come from.
    :returns: a kernel that is ready to run.
    """
    kernel = Kernel()
    instance, peers, placement = settings.instance, settings.peers, settings.placement
    # All instances use the same port; a seed may be named by another one.
    seeds = tuple(Address(seed.host, peers.address.port) for seed in peers.seeds)
    services = (
        EventLog(kernel, instance.instance_id),
        Supervisor(
            kernel,
            settings.drain.announce_ms,
            drain_limit_ms(settings.drain),
            DRAINING_PARTS,
            awaited_part="catalog",
        ),
        SettingsReload(
            kernel, file_name, settings, load_settings, consumers=("loads",)
        ),
        HttpClient(kernel),
        PlatformStore(kernel, settings.store_address),
        CatalogService(
            kernel,
            instance.instance_id,
            instance.failure_domain,
            peers.address,
            peers.key,
            seeds,
            decode_configuration,
            settings.is_first_start,
        ),
        HttpListener(kernel, peers.address, "catalog", CATALOG_PORT),
        Metrics(kernel),
        HttpListener(kernel, settings.metrics_address, "metrics", METRICS_PORT),
        Loads(kernel, DIALECT, placement.probes_per_s),
        Forwarding(kernel, DIALECT, read_forwarding_settings(settings)),
        BackendConnections(kernel, "forwarding"),
        Readiness(kernel),
        HttpListener(kernel, settings.readiness_address, "readiness", READINESS_PORT),
        HttpListener(kernel, settings.callers_address, "forwarding"),
    )
    for service in services:
        kernel.register(service)
    return kernel


def drain_limit_ms(stop: StopSettings) -> float:
    """
    Return the longest wait for running requests once the port is closed.

    :param stop: times of a graceful stop.
    """
    return max(0.0, stop.total_ms - stop.announce_ms - STOP_RESERVE_MS)


def read_forwarding_settings(settings: GatewaySettings) -> ForwardingSettings:
    """
    Return the settings of forwarding.

    :param settings: checked settings.
    """
    placement = settings.placement
    return ForwardingSettings(
        settings.instance.instance_id,
        settings.instance.failure_domain,
        ResendLimits(*settings.resends),
        placement.candidates,
        placement.far_charge_ms_per_kb,
    )


def configure_logs(settings: GatewaySettings) -> None:
    """
    Write log lines of the program to standard error.

    :param settings: checked settings.
    """
    logger.remove()
    name = settings.instance.instance_id
    # Diagnosis prints the values of variables, among them the peers' key.
    logger.add(
        sys.stderr,
        format=f"{{time:HH:mm:ss.SSS}} {{level}} {name} {{message}}",
        level=settings.log_level,
        diagnose=False,
    )


def load_settings(file_name: str | None) -> GatewaySettings:
    """
    Read the settings file.

    :param file_name: value of ``--settings`` or of the platform's variable.
    :raises SettingsError: it is missing or invalid.
    """
    text = read_settings_text(file_name)
    return parse_gateway_settings(text, file_name, os.environ)


def open_kernel(settings: GatewaySettings, file_name: str) -> Kernel:
    """
    Start the services of a daemon.

    :param settings: checked settings.
    :param file_name: name of the settings file, for errors.
    :raises SettingsError: an address cannot be bound.
    """
    kernel = build_kernel(settings, file_name)
    try:
        kernel.open()
    except AddressError as error:
        raise SettingsError(f"{file_name}: {error}") from error
    return kernel


def run_daemon(arguments: list[str]) -> int:
    """
    Run until a drain has finished.

    :param arguments: the program's name and what is no flag.
    :returns: the exit status.
    """
    file_name = SETTINGS.value or os.environ.get(SETTINGS_VARIABLE)
    try:
        if len(arguments) > 1:
            raise SettingsError(f"unknown argument {arguments[1]}")
        settings = load_settings(file_name)
        configure_logs(settings)
        if CHECK.value:
            print(f"{file_name}: valid")
            return 0
        kernel = open_kernel(settings, file_name)
    except SettingsError as error:
        print(f"cuminhatch-gateway: {error}", file=sys.stderr)
        return USAGE_STATUS
    logger.info("supervisor: Daemon started.")
    kernel.run()
    logger.info("supervisor: Daemon ended.")
    return 0


def main() -> None:
    """Run the program."""
    # absl.app would load a debugger and a second logging system at each start.
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        print(f"cuminhatch-gateway: {error}", file=sys.stderr)
        print(flags.FLAGS.main_module_help(), file=sys.stderr)
        sys.exit(USAGE_STATUS)
    sys.exit(run_daemon(arguments))


if __name__ == "__main__":
    main()
