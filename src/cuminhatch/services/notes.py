"""
Replicates the accepted release notes and submits new ones.

Release notes change the configuration. Accepted notes form a log in the table
service, numbered from 1; the latest sequence number is the head. Each instance
applies the notes in order. It replays them from the table, after a stored
snapshot if it is far behind, or pulls them from a peer.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from itertools import count, islice
from random import Random
from typing import Any, NamedTuple

from cuminhatch.codecs.note_json import (
    accepted_note_from_row,
    decode_snapshot,
    digest_bytes,
    digest_note,
    encode_snapshot,
    note_to_dict,
)
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    apply_note,
)
from cuminhatch.decisions.notes import (
    HEAD_KEY,
    NOTES_END,
    SUBMISSION_LIMIT_MS,
    AcceptedNote,
    Action,
    AppendNeeded,
    CatchUpNeeded,
    Conflict,
    Decided,
    HeadReadNeeded,
    Note,
    NoteAccepted,
    NoteIdReadNeeded,
    NoteOutcomeUnknown,
    NoteRefused,
    Submission,
    after_append,
    after_catch_up,
    after_head_read,
    after_note_id_read,
    check_note,
    check_note_fields,
    expire,
    find_conflict,
    is_next_note,
    note_id_key,
    note_key,
)
from cuminhatch.decisions.platform import (
    Committed,
    ObjectFound,
    ObjectStored,
    Row,
    RowAbsent,
    TableUnavailable,
)
from cuminhatch.decisions.snapshots import (
    SNAPSHOT_KEY,
    SnapshotSuperseded,
    is_snapshot_due,
    is_snapshot_wanted,
    is_superseded,
    plan_snapshot,
    snapshot_name,
)
from cuminhatch.errors import CodecError, DecisionError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    EventRecorded,
    HeadChanged,
    HeadReceived,
    NoteDecided,
    NotesPulled,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
    NoteSubmitted,
    ObjectGetReplied,
    ObjectGetRequested,
    ObjectPutReplied,
    ObjectPutRequested,
    ReadinessChanged,
    TableReadReplied,
    TableReadRequested,
    TableScanReplied,
    TableScanRequested,
    TableTransactReplied,
    TableTransactRequested,
)

HEAD_POLL_INTERVAL_MS = 1000.0
# A head read or replay without a reply for this time may be started again.
PLATFORM_REPLY_TIMEOUT_MS = 10_000.0
# A longer gap between two polls counts as a freeze: the process was suspended.
FREEZE_THRESHOLD_MS = 5000.0
# The instance is not ready after this time without a reply of the table
# service or a heartbeat of a peer.
CONTACT_TIMEOUT_MS = 30_000.0
# A pull from a peer without a reply for this time may be repeated.
PULL_RETRY_MS = 500.0
CATCH_UP_RETRY_MS = 200.0
MAX_SCAN_ROWS = 200
# Notes in memory for peers and conflict checks. They cover three and a half
# hours at 28,000 notes a day, so that instances cut off for an hour can catch
# up.
MAX_RECENT_NOTES = 4096
# Instances write a snapshot after a random delay, so that most of them find
# that another instance has already stored it.
MAX_SNAPSHOT_JITTER_MS = 10_000.0
CONFIGURATION_SUBSCRIBERS = (
    "dispatch",
    "backends",
    "probes",
    "permits",
    "peers",
    "operators",
)


class NoteDecisions(NamedTuple):
    """Decision functions of the service; tests substitute some."""

    check_note: Callable[[Configuration, Note], NoteRefused | None] = check_note
    find_conflict: Callable[[Note, Iterable[AcceptedNote]], Conflict | None] = (
        find_conflict
    )
    apply_note: Callable[[Configuration, AcceptedNote], Configuration] = apply_note
    is_next_note: Callable[[int, AcceptedNote], bool] = is_next_note
    after_note_id_read: Callable[..., tuple[Submission, Action]] = after_note_id_read
    after_append: Callable[..., tuple[Submission, Action]] = after_append
    is_snapshot_due: Callable[[int], bool] = is_snapshot_due
    is_snapshot_wanted: Callable[[int, int], bool] = is_snapshot_wanted
    digest_bytes: Callable[[bytes], str] = digest_bytes


class _PendingSubmission:
    """A note submitted by an operator, until its result is reported."""

    def __init__(self, request: NoteSubmitted, submission: Submission) -> None:
        self.request = request
        self.submission = submission
        # An append was sent and has no reply yet. If a reply does not report
        # the result, ``submission`` records that the note may have been
        # stored.
        self.is_append_in_flight = False
        self.is_decided = False


class _PollDue(NamedTuple):
    """The poll interval has passed."""


class _CallbackDue(NamedTuple):
    """The delay of a callback has passed."""

    token: int


class Notes(Service):
    """Owns the current configuration and the submissions in progress."""

    name = "notes"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        random: Random,
        decisions: NoteDecisions | None = None,
    ) -> None:
        """
        Create the service with an empty configuration.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, used in submission ids.
        :param random: random source for the snapshot delay and for the part
            of submission ids that differs between restarts.
        :param decisions: decision functions to use instead of the defaults.
        """
        super().__init__(kernel)
        self._random = random
        self._decisions = decisions or NoteDecisions()
        self._submission_prefix = f"{instance_id}-{random.getrandbits(64):016x}"
        self._submission_ids = count(1)
        self._configuration = EMPTY_CONFIGURATION
        self._recent_notes: deque[AcceptedNote] = deque(maxlen=MAX_RECENT_NOTES)
        self._tokens = count(1)
        self._reply_callbacks: dict[int, Callable[[Any], None]] = {}
        self._delayed_callbacks: dict[int, Callable[[], None]] = {}
        # Head polling and readiness. ``_has_current_head`` is reset by a
        # freeze, since a head received before it may be outdated.
        self._last_poll_ms = 0.0
        self._head_read_sent_ms: float | None = None
        self._last_contact_ms = 0.0
        self._has_current_head = False
        self._freeze_count = 0
        self._readiness: tuple[bool, str] | None = None
        # Replay from the table, and pulls from a peer.
        self._replay_target = 0
        self._replay_started_ms: float | None = None
        self._pull_target = 0
        self._next_pull_ms = 0.0
        self._pull_address: Address | None = None
        # The latest configuration to write as a snapshot; one write at a time.
        self._pending_snapshot: Configuration | None = None
        self._is_snapshot_in_progress = False

    @property
    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._configuration

    def message_handlers(self) -> MessageTable:
        """Return the handlers of operator, peer and platform messages."""
        return {
            _PollDue: self._on_poll_due,
            _CallbackDue: self._on_callback_due,
            NoteSubmitted: self._on_note_submitted,
            HeadReceived: self._on_head_received,
            NotesPulled: self._on_notes_pulled,
            NotesRequested: self._on_notes_requested,
            TableReadReplied: self._on_platform_replied,
            TableScanReplied: self._on_platform_replied,
            TableTransactReplied: self._on_platform_replied,
            ObjectGetReplied: self._on_platform_replied,
            ObjectPutReplied: self._on_platform_replied,
        }

    def open(self) -> None:
        """Start to poll the head."""
        now_ms = self.kernel.clock.now_ms
        self._last_poll_ms = self._last_contact_ms = now_ms
        self._update_readiness()
        self._poll_head()
        self.call_after(HEAD_POLL_INTERVAL_MS, _PollDue())

    # Requests to ``platform`` and delayed callbacks

    def _request_platform(
        self, message_type: type, on_reply: Callable[[Any], None], *fields: Any
    ) -> None:
        """Send a request to ``platform`` and register a reply callback."""
        token = next(self._tokens)
        self._reply_callbacks[token] = on_reply
        self.send("platform", message_type(self.name, token, *fields))

    def _on_platform_replied(self, message: Any) -> None:
        callback = self._reply_callbacks.pop(message.token, None)
        if callback is not None:
            callback(message.result)

    def _run_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        if delay_ms <= 0:
            callback()
            return
        token = next(self._tokens)
        self._delayed_callbacks[token] = callback
        self.call_after(delay_ms, _CallbackDue(token))

    def _on_callback_due(self, message: _CallbackDue) -> None:
        self._delayed_callbacks.pop(message.token)()

    def _record_event(self, name: str, sequence: int, **details: Any) -> None:
        self.send("timeline", EventRecorded("notes", name, "", sequence, details))

    # Head polling and readiness

    def _on_poll_due(self, message: _PollDue) -> None:
        self.call_after(HEAD_POLL_INTERVAL_MS, message)
        now_ms = self.kernel.clock.now_ms
        if now_ms - self._last_poll_ms > FREEZE_THRESHOLD_MS:
            self._freeze_count += 1
            self._has_current_head = False
            logger.warning(
                "notes: process suspended for {:.0f} ms; not ready until the "
                "latest note number is received.",
                now_ms - self._last_poll_ms,
            )
        self._last_poll_ms = now_ms
        self._poll_head()
        self._update_readiness()

    def _poll_head(self) -> None:
        now_ms = self.kernel.clock.now_ms
        sent_ms = self._head_read_sent_ms
        if sent_ms is not None and now_ms - sent_ms < PLATFORM_REPLY_TIMEOUT_MS:
            return
        self._head_read_sent_ms = now_ms
        freeze_count = self._freeze_count

        def on_head_read(result: Row | RowAbsent | TableUnavailable) -> None:
            self._head_read_sent_ms = None
            if isinstance(result, TableUnavailable):
                return
            # The reply to a read sent before a freeze may be outdated.
            self._record_contact(is_head_current=freeze_count == self._freeze_count)
            if isinstance(result, Row):
                self._replay_to(result.value["sequence"])

        self._request_platform(TableReadRequested, on_head_read, HEAD_KEY)

    def _record_contact(self, is_head_current: bool) -> None:
        """Record a reply of the table service or a heartbeat of a peer."""
        self._last_contact_ms = self.kernel.clock.now_ms
        self._has_current_head = self._has_current_head or is_head_current
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self._configuration.sequence == 0:
            readiness = (False, "no-note")
        elif not self._has_current_head:
            readiness = (False, "no-head-after-freeze")
        elif self.kernel.clock.now_ms - self._last_contact_ms >= CONTACT_TIMEOUT_MS:
            readiness = (False, "no-store-or-peer")
        else:
            readiness = (True, "")
        if readiness == self._readiness:
            return
        self._readiness = readiness
        is_ready, reason = readiness
        self.send("supervisor", ReadinessChanged(self.name, is_ready, reason))
        self._record_event(
            "readiness-changed",
            self._configuration.sequence,
            is_ready=is_ready,
            reason=reason,
        )

    # Replay from the table

    def _replay_to(self, head: int) -> None:
        self._replay_target = max(self._replay_target, head)
        sequence = self._configuration.sequence
        now_ms = self.kernel.clock.now_ms
        started_ms = self._replay_started_ms
        is_in_progress = (
            started_ms is not None and now_ms - started_ms < PLATFORM_REPLY_TIMEOUT_MS
        )
        if sequence >= self._replay_target or is_in_progress:
            return
        self._replay_started_ms = now_ms
        if self._decisions.is_snapshot_wanted(sequence, self._replay_target):
            self._request_platform(
                TableReadRequested, self._on_snapshot_row_read, SNAPSHOT_KEY
            )
        else:
            self._replay_next_page()

    def _on_snapshot_row_read(self, result: Row | RowAbsent | TableUnavailable) -> None:
        sequence = self._configuration.sequence
        if not isinstance(result, Row) or result.value["sequence"] <= sequence:
            self._replay_next_page()
            return

        def on_object_read(found: Any) -> None:
            self._apply_snapshot(result, found)
            self._replay_next_page()

        self._request_platform(
            ObjectGetRequested, on_object_read, result.value["object_name"]
        )

    def _apply_snapshot(self, row: Row, found: Any) -> None:
        sequence = row.value["sequence"]
        reason = ""
        if not isinstance(found, ObjectFound):
            reason = found.reason
        elif self._decisions.digest_bytes(found.data) != row.value["digest"]:
            reason = "digest mismatch"
        else:
            try:
                configuration = decode_snapshot(found.data)
            except CodecError as error:
                reason = str(error)
        if reason:
            logger.warning(
                "notes: skipped snapshot {}: {}; replaying notes.", sequence, reason
            )
            self._record_event("snapshot-skipped", sequence, reason=reason)
        elif configuration.sequence > self._configuration.sequence:
            self._configuration = configuration
            self._recent_notes.clear()
            self._record_event("snapshot-applied", sequence)
            self._publish_configuration()

    def _replay_next_page(self) -> None:
        after = self._configuration.sequence

        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            self._replay_started_ms = None
            if not isinstance(result, TableUnavailable):
                self._apply_notes(self._decode_rows(result))
            # Without progress, replay stops until the next poll.
            if after < self._configuration.sequence < self._replay_target:
                self._replay_started_ms = self.kernel.clock.now_ms
                self._replay_next_page()

        self._request_platform(
            TableScanRequested,
            on_scanned,
            note_key(after),
            NOTES_END,
            MAX_SCAN_ROWS,
        )

    def _decode_rows(self, rows: Iterable[Row]) -> list[AcceptedNote]:
        notes = []
        for row in rows:
            try:
                notes.append(accepted_note_from_row(row.value))
            except CodecError as error:
                logger.error("notes: cannot decode row {}: {}.", row.key, error)
                break
        return notes

    # Pulls from peers

    def _on_head_received(self, message: HeadReceived) -> None:
        self._record_contact(is_head_current=True)
        sequence = self._configuration.sequence
        if message.sequence <= sequence:
            return
        if message.sequence >= self._pull_target or self._pull_target <= sequence:
            self._pull_target = message.sequence
            self._pull_address = message.address
        # A large gap is left to a replay in progress, which reads a snapshot.
        is_replaying = self._replay_started_ms is not None
        if not (
            is_replaying
            and self._decisions.is_snapshot_wanted(sequence, message.sequence)
        ):
            self._pull_notes()

    def _pull_notes(self) -> None:
        now_ms = self.kernel.clock.now_ms
        if now_ms < self._next_pull_ms or self._pull_address is None:
            return
        self._next_pull_ms = now_ms + PULL_RETRY_MS
        self.send(
            "note_transfer",
            NotesPullRequested(self._pull_address, self._configuration.sequence),
        )

    def _on_notes_pulled(self, message: NotesPulled) -> None:
        before = self._configuration.sequence
        self._apply_notes(message.notes)
        if before < self._configuration.sequence < self._pull_target:
            self._next_pull_ms = 0.0
            self._pull_notes()

    def _on_notes_requested(self, message: NotesRequested) -> None:
        def reply(notes: Iterable[AcceptedNote]) -> None:
            self.send(message.reply_to, NotesReplied(message.token, tuple(notes)))

        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            if isinstance(result, TableUnavailable):
                reply(islice(self._recent_notes, message.limit))
            else:
                reply(self._decode_rows(result))

        recent = self._recent_notes_after(message.after)
        if recent is not None:
            reply(recent[: message.limit])
            return
        self._request_platform(
            TableScanRequested,
            on_scanned,
            note_key(message.after),
            NOTES_END,
            min(message.limit, MAX_SCAN_ROWS),
        )

    def _recent_notes_after(self, after: int) -> list[AcceptedNote] | None:
        """Return later notes, or None if some are not in memory."""
        if after >= self._configuration.sequence:
            return []
        if not self._recent_notes or self._recent_notes[0].sequence > after + 1:
            return None
        start = after + 1 - self._recent_notes[0].sequence
        return list(islice(self._recent_notes, start, None))

    # The current configuration

    def _apply_notes(self, notes: Iterable[AcceptedNote]) -> None:
        before = self._configuration
        for accepted in notes:
            if not self._decisions.is_next_note(self._configuration.sequence, accepted):
                continue
            try:
                self._configuration = self._decisions.apply_note(
                    self._configuration, accepted
                )
            except DecisionError as error:
                logger.error("notes: cannot apply note {}: {}.", accepted[0], error)
                self._record_event("note-failed", accepted.sequence, error=str(error))
                break
            self._recent_notes.append(accepted)
            self._record_event(
                "note-applied", accepted.sequence, note_id=accepted.note.note_id
            )
            if self._decisions.is_snapshot_due(accepted.sequence):
                self._pending_snapshot = self._configuration
        if self._configuration is not before:
            self._publish_configuration()
            self._schedule_snapshot()

    def _publish_configuration(self) -> None:
        configuration = self._configuration
        logger.info("notes: configuration is now at note {}.", configuration.sequence)
        for subscriber in CONFIGURATION_SUBSCRIBERS:
            self.send(subscriber, ConfigurationChanged(configuration))
        self.send("peers", HeadChanged(configuration.sequence))
        self._update_readiness()

    # Submissions

    def _on_note_submitted(self, message: NoteSubmitted) -> None:
        note = message.note
        refused = check_note_fields(note)
        if refused is None:
            try:
                body, digest = note_to_dict(note), digest_note(note)
            except CodecError as error:
                refused = NoteRefused(str(error))
        if refused is not None:
            self._report_result(message, refused)
            return
        number = next(self._submission_ids)
        submission = Submission(
            f"{self._submission_prefix}-{number}",
            note,
            body,
            digest,
            self.kernel.clock.now_ms + SUBMISSION_LIMIT_MS,
        )
        pending = _PendingSubmission(message, submission)
        self._run_after(SUBMISSION_LIMIT_MS, lambda: self._expire_submission(pending))
        self._run_action(pending, HeadReadNeeded())

    def _expire_submission(self, pending: _PendingSubmission) -> None:
        # Also bounds the wait for a reply from ``platform``.
        if not pending.is_decided:
            submission = pending.submission
            is_open = submission.has_unconfirmed_append or pending.is_append_in_flight
            self._finish_submission(
                pending, expire(submission._replace(has_unconfirmed_append=is_open))
            )

    def _advance(
        self, pending: _PendingSubmission, advanced: tuple[Submission, Action]
    ) -> None:
        # Nothing more is written once the result has been reported.
        if not pending.is_decided:
            pending.submission, action = advanced
            self._run_action(pending, action)

    def _run_action(self, pending: _PendingSubmission, action: Action) -> None:
        if isinstance(action, Decided):
            self._finish_submission(pending, action.result)
        elif isinstance(action, CatchUpNeeded):
            self._catch_up(pending, action)
        elif isinstance(action, AppendNeeded):
            self._run_after(action.delay_ms, lambda: self._append(pending, action))
        else:
            self._run_after(action.delay_ms, lambda: self._read_row(pending, action))

    def _append(self, pending: _PendingSubmission, action: AppendNeeded) -> None:
        def on_replied(result: Any) -> None:
            pending.is_append_in_flight = False
            advance(result)

        if pending.is_decided:
            return
        advance = self._make_advance_callback(pending, self._decisions.after_append)
        pending.is_append_in_flight = True
        self._request_platform(TableTransactRequested, on_replied, action.transaction)

    def _read_row(
        self, pending: _PendingSubmission, action: HeadReadNeeded | NoteIdReadNeeded
    ) -> None:
        if isinstance(action, HeadReadNeeded):
            key, decide = HEAD_KEY, after_head_read
        else:
            key = note_id_key(pending.submission.note.note_id)
            decide = self._decisions.after_note_id_read
        self._request_platform(
            TableReadRequested, self._make_advance_callback(pending, decide), key
        )

    def _make_advance_callback(
        self,
        pending: _PendingSubmission,
        decide: Callable[..., tuple[Submission, Action]],
    ) -> Callable[[Any], None]:
        def advance(result: Any) -> None:
            now_ms = self.kernel.clock.now_ms
            self._advance(pending, decide(pending.submission, result, now_ms))

        return advance

    def _catch_up(self, pending: _PendingSubmission, action: CatchUpNeeded) -> None:
        def retry() -> None:
            self._run_after(CATCH_UP_RETRY_MS, lambda: self._catch_up(pending, action))

        def finish(newer: Iterable[AcceptedNote]) -> None:
            note = pending.submission.note
            configuration = self._configuration
            self._advance(
                pending,
                after_catch_up(
                    pending.submission,
                    configuration,
                    self._decisions.check_note(configuration, note),
                    self._decisions.find_conflict(
                        note, (n for n in newer if n.sequence <= action.sequence)
                    ),
                    self.kernel.clock.now_ms,
                ),
            )

        if pending.is_decided:
            return
        if self._configuration.sequence < action.sequence:
            self._replay_to(action.sequence)
            retry()
            return
        recent = self._recent_notes_after(action.after)
        if recent is not None:
            finish(recent)
        else:
            self._scan_range(action.after, action.sequence, [], finish, retry)

    def _scan_range(
        self,
        after: int,
        end: int,
        collected: list[AcceptedNote],
        finish: Callable[[Sequence[AcceptedNote]], None],
        retry: Callable[[], None],
    ) -> None:
        """Read the notes after ``after``, up to ``end``, page by page."""

        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            notes = (
                []
                if isinstance(result, TableUnavailable)
                else self._decode_rows(result)
            )
            if not notes:
                retry()
                return
            collected.extend(notes)
            last = notes[-1].sequence
            if last >= end:
                finish(collected)
            else:
                self._scan_range(last, end, collected, finish, retry)

        self._request_platform(
            TableScanRequested,
            on_scanned,
            note_key(after),
            NOTES_END,
            MAX_SCAN_ROWS,
        )

    def _finish_submission(
        self,
        pending: _PendingSubmission,
        result: NoteAccepted | NoteRefused | NoteOutcomeUnknown,
    ) -> None:
        pending.is_decided = True
        self._report_result(pending.request, result)
        if isinstance(result, NoteAccepted):
            # Applied at once, so that peers can pull the note from here even
            # if the table service fails now.
            self._apply_notes([AcceptedNote(result.sequence, pending.request.note)])
            self._replay_to(result.sequence)

    def _report_result(
        self,
        request: NoteSubmitted,
        result: NoteAccepted | NoteRefused | NoteOutcomeUnknown,
    ) -> None:
        self.send(request.reply_to, NoteDecided(request.token, result))
        self._record_event(
            "note-decided",
            result.sequence if isinstance(result, NoteAccepted) else 0,
            note_id=request.note.note_id,
            result=type(result).__name__,
            reason=getattr(result, "reason", ""),
        )

    # Snapshots

    def _schedule_snapshot(self) -> None:
        if self._pending_snapshot is None or self._is_snapshot_in_progress:
            return
        self._is_snapshot_in_progress = True
        delay_ms = self._random.uniform(1.0, MAX_SNAPSHOT_JITTER_MS)
        self._run_after(delay_ms, self._write_snapshot)

    def _finish_snapshot(self, written: Configuration | None) -> None:
        """End a snapshot attempt; schedule another if one is still pending."""
        if written is self._pending_snapshot:
            self._pending_snapshot = None
        self._is_snapshot_in_progress = False
        self._schedule_snapshot()

    def _write_snapshot(self) -> None:
        configuration = self._pending_snapshot
        assert configuration is not None
        sequence = configuration.sequence

        def on_row_read(current_row: Row | RowAbsent | TableUnavailable) -> None:
            if isinstance(current_row, TableUnavailable):
                self._finish_snapshot(None)
            elif is_superseded(current_row, sequence):
                self._finish_snapshot(configuration)
            else:
                self._store_snapshot(configuration, current_row)

        self._request_platform(TableReadRequested, on_row_read, SNAPSHOT_KEY)

    def _store_snapshot(
        self, configuration: Configuration, current_row: Row | RowAbsent
    ) -> None:
        sequence = configuration.sequence
        data = encode_snapshot(configuration)

        def on_object_stored(result: Any) -> None:
            if not isinstance(result, ObjectStored):
                self._finish_snapshot(None)
                return
            transaction = plan_snapshot(
                current_row,
                sequence,
                self._decisions.digest_bytes(data),
                f"{self._submission_prefix}-snapshot-{sequence}",
            )
            assert not isinstance(transaction, SnapshotSuperseded)
            self._request_platform(
                TableTransactRequested, on_reference_written, transaction
            )

        def on_reference_written(result: Any) -> None:
            if isinstance(result, Committed):
                logger.info("notes: stored snapshot {}.", sequence)
                self._record_event("snapshot-stored", sequence)
                self._finish_snapshot(configuration)
            else:
                # Another instance has written the row first, or there was no
                # reply: the next attempt reads the row to find out.
                self._finish_snapshot(None)

        self._request_platform(
            ObjectPutRequested, on_object_stored, snapshot_name(sequence), data
        )
