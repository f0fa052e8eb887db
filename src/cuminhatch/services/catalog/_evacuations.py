"""Reads the evacuated failure domains that no other instance has told."""

from cuminhatch.services.catalog._store_reads import request_configuration
from cuminhatch.services.catalog._timers import CONFIGURATION_INTERVAL_MS
from cuminhatch.services.catalog._updates import publish_configuration
from cuminhatch.services.catalog._view import CatalogView


def request_missing_evacuation(view: CatalogView) -> None:
    """
    Ask the store for the evacuated domains if no other instance tells them.

    The others may be of an earlier version, or have started just before.

    :param view: state of the catalog.
    """
    if view.evacuation_missed_ms is None or view.evacuation is not None:
        return
    since_ms = view.clock.now_ms - view.configuration_requested_ms
    if since_ms >= CONFIGURATION_INTERVAL_MS:
        request_configuration(view)
    if not view.is_evacuation_awaited and not view.is_published:
        view.record("evacuation_unknown", {})
        publish_configuration(view)
