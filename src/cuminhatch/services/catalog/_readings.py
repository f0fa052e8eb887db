"""Takes turns with other instances to read the store."""

from cuminhatch.decisions.catalog import LAPSE_GRACE_MS, merge_reading
from cuminhatch.decisions.reading_turns import next_reading_ms
from cuminhatch.log import logger
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.services.catalog._beliefs import adopt_catalog, take_document
from cuminhatch.services.catalog._members import no_change, tell_all
from cuminhatch.services.catalog._timers import (
    CONFIGURATION_INTERVAL_MS,
    ENROLMENT_DELAY_MS,
    OUTAGE_GAP_MS,
    STALE_READING_MS,
    EnrolmentDue,
    TurnDue,
)
from cuminhatch.services.catalog._view import NAME, CatalogView


def schedule_turn(view: CatalogView) -> None:
    """Set the timer of the next reading of this instance."""
    view.kernel.cancel(view.turn_timer)
    due_ms = next_reading_ms(view.turn, view.members)
    if view.reading_token:
        due_ms = max(due_ms, view.reading_since_ms + STALE_READING_MS)
    due_ms = max(due_ms, view.first_reading_ms, view.clock.now_ms)
    view.turn_timer = view.call_at(due_ms, TurnDue())


def on_turn_due(view: CatalogView, message: TurnDue) -> None:
    """Read the registrations, and the configuration if it is its time."""
    now_ms = view.clock.now_ms
    view.reading_token = next(view.tokens)
    view.reading_since_ms = now_ms
    view.send("store", RegistrationsRequested(NAME, view.reading_token))
    is_taking_over = view.turn.reader_id != view.own.instance_id
    if is_taking_over and not view.is_enrolled:
        view.call_at(now_ms + ENROLMENT_DELAY_MS, EnrolmentDue())
    is_due = now_ms - view.configuration_read_ms >= CONFIGURATION_INTERVAL_MS
    if (is_taking_over or is_due) and not view.is_store_lost:
        request_configuration(view)
    schedule_turn(view)


def request_configuration(view: CatalogView) -> None:
    """Ask the store for the operator's configuration."""
    view.configuration_read_ms = view.clock.now_ms
    view.send("store", ConfigurationRequested(NAME, next(view.tokens)))


def on_registrations_read(view: CatalogView, message: RegistrationsRead) -> None:
    """Believe what the store has shown, and tell the others."""
    now_ms = view.clock.now_ms
    own_id = view.own.instance_id
    last_ms = max(view.read_ms, view.turn.heard_ms)
    is_silence_over = last_ms > 0.0 and now_ms - last_ms > OUTAGE_GAP_MS
    if is_silence_over or view.is_reading_lost:
        view.outage_ended_ms = now_ms
        view.is_reading_lost = False
    note_store_regained(view)
    if message.token == view.reading_token:
        view.reading_token = 0
    view.read_ms = now_ms
    view.turn = view.turn._replace(reader_id=own_id, heard_ms=now_ms)
    is_after_outage = now_ms - view.outage_ended_ms < LAPSE_GRACE_MS
    catalog, change = merge_reading(
        view.catalog,
        message.version,
        message.registrations,
        now_ms,
        is_after_outage and view.catalog.version > 0,
    )
    record_refused(view, message)
    view.history.note(change)
    adopt_catalog(view, catalog, "store")
    tell_all(view, change)
    schedule_turn(view)


def on_configuration_read(view: CatalogView, message: ConfigurationRead) -> None:
    """Put a newer configuration in force, and tell the others."""
    if message.document and take_document(view, message.document, "store"):
        tell_all(view, no_change(view))


def on_store_unavailable(view: CatalogView, message: StoreUnavailable) -> None:
    """Leave the next turn to others, and note the outage."""
    now_ms = view.clock.now_ms
    if message.token == view.reading_token:
        view.reading_token = 0
        view.is_reading_lost = True
    view.turn = view.turn._replace(refused_ms=now_ms)
    if not view.is_store_lost:
        view.is_store_lost = True
        logger.warning("catalog: Store does not answer: {}.", message.reason)
        view.record("store_lost", {"reason": message.reason})
    schedule_turn(view)


def note_store_regained(view: CatalogView) -> None:
    """Note the end of an outage, in which versions may have been missed."""
    if view.is_store_lost:
        view.is_store_lost = False
        logger.info("catalog: Store answers again.")
        view.record("store_regained", {})
        request_configuration(view)


def record_refused(view: CatalogView, message: RegistrationsRead) -> None:
    """Log each row that names no usable server, once for each reason."""
    refused = dict(message.refused)
    for server_id, reason in refused.items():
        if view.refused.get(server_id) != reason:
            details = {"server": server_id, "reason": reason}
            view.record("registration_refused", details)
    view.refused = refused
