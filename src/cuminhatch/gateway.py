"""
The daemon ``cuminhatch-gateway``, one process per instance.

It reads its configuration from the platform's metadata store.
"""

import os
import sys
from typing import TYPE_CHECKING

from cuminhatch.address import Address
from cuminhatch.arguments import EXIT_USAGE
from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.gateway_toml import (
    EXIT_RESERVE_MS,
    GatewaySettings,
    StopSettings,
    parse_gateway_settings,
)
from cuminhatch.decisions.resending import ResendLimits
from cuminhatch.decisions.warmup import WarmupLimit
from cuminhatch.errors import AddressError, SettingsError
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.log import logger
from cuminhatch.messages import EventRecorded
from cuminhatch.platform.bounds import apply_bounds
from cuminhatch.platform.documents import decode_configuration, redact_configuration
from cuminhatch.platform.environment import SETTINGS_VARIABLE
from cuminhatch.platform.headers import DIALECT
from cuminhatch.platform.store import PlatformStore
from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.catalog import PORT_NAME as CATALOG_PORT, CatalogService
from cuminhatch.services.event_log import EventLog
from cuminhatch.services.forwarding import Forwarding, ForwardingSettings
from cuminhatch.services.http_client import HttpClient
from cuminhatch.services.http_listener import HttpListener, ListenerLimits
from cuminhatch.services.loads import Loads
from cuminhatch.services.metrics import PORT_NAME as METRICS_PORT, Metrics
from cuminhatch.services.readiness import PORT_NAME as READINESS_PORT, Readiness
from cuminhatch.services.settings_reload import SettingsReload
from cuminhatch.services.supervisor import Supervisor
from cuminhatch.settings_file import read_settings_text

if TYPE_CHECKING:
    from cuminhatch.services.quota import QuotaService

# Services to drain before the daemon exits.
DRAINED_SERVICES = ("callers",)


def build_kernel(settings: GatewaySettings, file_name: str) -> Kernel:
    """
    Register the services of a daemon.

    :param settings: validated settings.
    :param file_name: name of the settings file.
    :returns: a kernel with all services registered, not yet open.
    """
    kernel = Kernel()
    instance, peers, placement = settings.instance, settings.peers, settings.placement
    # All instances use the same peer port, so the ports of seeds are ignored.
    seeds = tuple(Address(seed.host, peers.address.port) for seed in peers.seeds)
    quota = build_quota(kernel, settings)
    services = (
        EventLog(kernel, instance.instance_id),
        Supervisor(
            kernel,
            settings.drain.announce_ms,
            drain_limit_ms(settings.drain),
            DRAINED_SERVICES,
            awaited_part="catalog",
        ),
        SettingsReload(
            kernel, file_name, settings, load_settings, consumers=("loads",)
        ),
        HttpClient(kernel),
        PlatformStore(
            kernel, settings.store.address, has_evacuations=settings.evacuation_ms > 0
        ),
        CatalogService(
            kernel,
            instance.instance_id,
            instance.failure_domain,
            peers.address,
            peers.key,
            seeds,
            decode_configuration,
            settings.is_first_start,
            heartbeat_ms=settings.store.heartbeat_ms,
            redact_configuration=redact_configuration,
            has_evacuations=settings.evacuation_ms > 0,
            has_warmup_limit=settings.warmup is not None,
        ),
        HttpListener(kernel, peers.address, "catalog", CATALOG_PORT),
        Metrics(kernel, gauge_parts=list_gauge_parts(settings)),
        HttpListener(kernel, settings.metrics_address, "metrics", METRICS_PORT),
        Loads(kernel, DIALECT, placement.probes_per_s),
        Forwarding(
            kernel,
            DIALECT,
            build_forwarding_settings(settings),
            quota=quota and quota.gate,
        ),
        BackendConnections(kernel, "forwarding"),
        Readiness(kernel),
        HttpListener(kernel, settings.readiness_address, "readiness", READINESS_PORT),
        HttpListener(
            kernel,
            settings.callers_address,
            "forwarding",
            limits=ListenerLimits(pipelined=settings.callers_pipelined),
        ),
    )
    for service in (*services, quota):
        if service is not None:
            kernel.register(service)
    return kernel


def build_quota(kernel: Kernel, settings: GatewaySettings) -> "QuotaService | None":
    """
    Return the service that enforces quotas, None if none is enforced.

    :param kernel: kernel of the process.
    :param settings: validated settings.
    """
    quota, instance, peers = settings.quota, settings.instance, settings.peers
    if quota is None:
        return None
    # Imported only if needed, since callers wait for a daemon that restarts.
    from cuminhatch.decisions.quota import QuotaLimits
    from cuminhatch.services.quota import QuotaService

    return QuotaService(
        kernel,
        instance.instance_id,
        instance.failure_domain,
        quota.address,
        peers.key,
        QuotaLimits(quota.window_s * MS_PER_SECOND, quota.overshoot, quota.slack),
        any(seed.host != peers.address.host for seed in peers.seeds),
    )


def list_gauge_parts(settings: GatewaySettings) -> tuple[str, ...]:
    """
    Return the services that are asked for gauges.

    :param settings: validated settings.
    """
    parts = ("forwarding", "catalog")
    return parts if settings.quota is None else (*parts, "quota")


def drain_limit_ms(drain: StopSettings) -> float:
    """
    Return how long requests in progress may take after the port is closed.

    :param drain: settings of the graceful shutdown.
    :returns: milliseconds, not negative.
    """
    return max(0.0, drain.total_ms - drain.announce_ms - EXIT_RESERVE_MS)


def build_forwarding_settings(settings: GatewaySettings) -> ForwardingSettings:
    """
    Return the settings of the forwarding service.

    :param settings: validated settings.
    """
    placement = settings.placement
    return ForwardingSettings(
        settings.instance.instance_id,
        settings.instance.failure_domain,
        ResendLimits(*settings.resends),
        placement.candidates,
        placement.far_charge_ms_per_kb,
        placement.active_connection_ms,
        WarmupLimit(*settings.warmup) if settings.warmup is not None else None,
        settings.hedging_share,
    )


def load_settings(file_name: str | None) -> GatewaySettings:
    """
    Read and validate the settings file.

    :param file_name: value of ``--settings`` or of the platform's environment
        variable.
    :raises SettingsError: the file is missing or invalid.
    """
    text = read_settings_text(file_name)
    settings = parse_gateway_settings(text, file_name, os.environ)
    return apply_bounds(settings, file_name)


def open_kernel(settings: GatewaySettings, file_name: str) -> Kernel:
    """
    Create the kernel of a daemon and open its services.

    :param settings: validated settings.
    :param file_name: name of the settings file, for error messages.
    :returns: a kernel whose services are open.
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
    Run the daemon until its drain has finished.

    :param arguments: program name and command-line arguments.
    :returns: exit status.
    """
    try:
        file_name, is_check_only = read_arguments(arguments)
        settings = load_settings(file_name)
        logger.configure(settings.instance.instance_id, settings.log_level)
        if is_check_only:
            print(f"{file_name}: valid")
            return 0
        kernel = open_kernel(settings, file_name)
    except SettingsError as error:
        print(f"cuminhatch-gateway: {error}", file=sys.stderr)
        return EXIT_USAGE
    record(kernel, "daemon_started")
    kernel.run()
    return 0


def read_arguments(arguments: list[str]) -> tuple[str | None, bool]:
    """
    Return the settings file's name and whether it is only to be checked.

    :param arguments: program name and command-line arguments.
    :raises SettingsError: the command line is invalid.
    """
    file_name, is_check_only = None, False
    if len(arguments) > 1:
        # The platform passes no arguments, so a restart does not wait for the
        # import of absl.
        from cuminhatch.gateway_options import read_options

        file_name, is_check_only = read_options(arguments)
    return file_name or os.environ.get(SETTINGS_VARIABLE), is_check_only


def record(kernel: Kernel, name: str) -> None:
    """
    Record an event of the daemon itself in the event log.

    :param kernel: kernel of the daemon.
    :param name: name of the event.
    """
    event = EventRecorded(SUPERVISOR, name, "", 0, {"pid": os.getpid()})
    kernel.send("event_log", event)


def main() -> None:
    """Run the daemon as a program."""
    if len(sys.argv) > 1:
        # Imported only then, see ``read_arguments``.
        from cuminhatch.gateway_options import HELP
        from cuminhatch.program_help import exit_with_help

        exit_with_help(HELP)
    sys.exit(run_daemon(sys.argv))


if __name__ == "__main__":
    main()
