"""Follows the accepted notes, submits new ones and keeps snapshots."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from itertools import count, islice
from random import Random
from typing import Any, NamedTuple

from cuminhatch.codecs.note_json import (
    accepted_from_row,
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
    Step,
    Submission,
    after_append,
    after_catch_up,
    after_head_read,
    after_note_id_read,
    check_form,
    check_note,
    expire,
    find_conflict,
    is_next,
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
    HeadHeard,
    NoteDecided,
    NotesOffered,
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

POLL_INTERVAL_MS = 1000.0
# A request that ``platform`` has not answered after this time is sent anew.
REPLY_LIMIT_MS = 10_000.0
# A longer gap between two polls means that the process was frozen.
FREEZE_MS = 5000.0
SILENCE_LIMIT_MS = 30_000.0
# A pull from a peer that has not answered after this time is repeated.
PULL_RETRY_MS = 500.0
CATCH_UP_RETRY_MS = 200.0
SCAN_LIMIT_ROWS = 200
# Kept for peers and for the search for conflicts: three and a half hours of
# 28,000 notes a day, so that a region cut off for an hour can catch up.
RECENT_NOTES_MAX = 4096
# Snapshots of the instances are spread, so that most find one that is stored.
SNAPSHOT_SPREAD_MS = 10_000.0
FOLLOWERS = ("dispatch", "backends", "probes", "permits", "peers", "operators")


class NoteDecisions(NamedTuple):
    """The decisions the service rests on; tests replace some."""

    check_note: Callable[[Configuration, Note], NoteRefused | None] = check_note
    find_conflict: Callable[[Note, Iterable[AcceptedNote]], Conflict | None] = (
        find_conflict
    )
    apply_note: Callable[[Configuration, AcceptedNote], Configuration] = apply_note
    is_next: Callable[[int, AcceptedNote], bool] = is_next
    after_note_id_read: Callable[..., tuple[Submission, Step]] = after_note_id_read
    after_append: Callable[..., tuple[Submission, Step]] = after_append
    is_snapshot_due: Callable[[int], bool] = is_snapshot_due
    is_snapshot_wanted: Callable[[int, int], bool] = is_snapshot_wanted
    digest_bytes: Callable[[bytes], str] = digest_bytes


class _Record:
    """State of one submission of an operator."""

    def __init__(self, submitted: NoteSubmitted, submission: Submission) -> None:
        self.submitted = submitted
        self.submission = submission
        self.is_append_in_flight = False
        self.is_decided = False


class _PollDue(NamedTuple):
    """The head is to be read."""


class _ActionDue(NamedTuple):
    """A delayed action is to run."""

    token: int


class Notes(Service):
    """Owns the configuration in force and the submissions in progress."""

    name = "notes"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        random: Random,
        decisions: NoteDecisions | None = None,
    ) -> None:
        """
        Start without a configuration.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of submission ids.
        :param random: source of the spread of snapshots and of the part of
            submission ids that tells restarts apart.
        :param decisions: decisions to use; the real ones by default.
        """
        super().__init__(kernel)
        self._random = random
        self._decisions = decisions or NoteDecisions()
        self._submission_prefix = f"{instance_id}-{random.getrandbits(64):016x}"
        self._submission_ids = count(1)
        self._configuration = EMPTY_CONFIGURATION
        self._recent: deque[AcceptedNote] = deque(maxlen=RECENT_NOTES_MAX)
        self._tokens = count(1)
        self._reply_actions: dict[int, Callable[[Any], None]] = {}
        self._delayed_actions: dict[int, Callable[[], None]] = {}
        # Head: what is known of the store and the peers.
        self._poll_ms = 0.0
        self._poll_sent_ms: float | None = None
        self._heard_ms = 0.0
        self._is_head_heard = False
        self._freezes = 0
        self._readiness: tuple[bool, str] | None = None
        # Learning notes: from the table and from a peer.
        self._learn_head = 0
        self._learn_started_ms: float | None = None
        self._pull_head = 0
        self._pull_until_ms = 0.0
        self._pull_address: Address | None = None
        # The latest configuration to store; one write at a time.
        self._snapshot: Configuration | None = None
        self._is_snapshot_in_progress = False

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._configuration

    def message_handlers(self) -> MessageTable:
        """Return the messages of operators, peers and platform."""
        return {
            _PollDue: self._on_poll_due,
            _ActionDue: self._on_action_due,
            NoteSubmitted: self._on_note_submitted,
            HeadHeard: self._on_head_heard,
            NotesOffered: self._on_notes_offered,
            NotesRequested: self._on_notes_requested,
            TableReadReplied: self._on_replied,
            TableScanReplied: self._on_replied,
            TableTransactReplied: self._on_replied,
            ObjectGetReplied: self._on_replied,
            ObjectPutReplied: self._on_replied,
        }

    def open(self) -> None:
        """Start to learn the notes."""
        now_ms = self.kernel.clock.now_ms
        self._poll_ms = self._heard_ms = now_ms
        self._update_readiness()
        self._poll()
        self.call_after(POLL_INTERVAL_MS, _PollDue())

    # Requests to ``platform`` and delays

    def _ask(
        self, message_type: type, on_reply: Callable[[Any], None], *fields: Any
    ) -> None:
        token = next(self._tokens)
        self._reply_actions[token] = on_reply
        self.send("platform", message_type(self.name, token, *fields))

    def _on_replied(self, message: Any) -> None:
        action = self._reply_actions.pop(message.token, None)
        if action is not None:
            action(message.result)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        if delay_ms <= 0:
            action()
            return
        token = next(self._tokens)
        self._delayed_actions[token] = action
        self.call_after(delay_ms, _ActionDue(token))

    def _on_action_due(self, message: _ActionDue) -> None:
        self._delayed_actions.pop(message.token)()

    def _record_event(self, name: str, sequence: int, **details: Any) -> None:
        self.send("timeline", EventRecorded("notes", name, "", sequence, details))

    # The head

    def _on_poll_due(self, message: _PollDue) -> None:
        self.call_after(POLL_INTERVAL_MS, message)
        now_ms = self.kernel.clock.now_ms
        if now_ms - self._poll_ms > FREEZE_MS:
            self._freezes += 1
            self._is_head_heard = False
            logger.warning(
                "notes: no poll for {:.0f} ms, not ready until a head is heard.",
                now_ms - self._poll_ms,
            )
        self._poll_ms = now_ms
        self._poll()
        self._update_readiness()

    def _poll(self) -> None:
        now_ms = self.kernel.clock.now_ms
        sent_ms = self._poll_sent_ms
        if sent_ms is not None and now_ms - sent_ms < REPLY_LIMIT_MS:
            return
        self._poll_sent_ms = now_ms
        freezes = self._freezes

        def on_head_read(result: Row | RowAbsent | TableUnavailable) -> None:
            self._poll_sent_ms = None
            if isinstance(result, TableUnavailable):
                return
            # A reply to a read from before a freeze may be as old as that.
            self._hear(is_head=freezes == self._freezes)
            if isinstance(result, Row):
                self._learn(result.value["sequence"])

        self._ask(TableReadRequested, on_head_read, HEAD_KEY)

    def _hear(self, is_head: bool) -> None:
        self._heard_ms = self.kernel.clock.now_ms
        self._is_head_heard = self._is_head_heard or is_head
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self._configuration.sequence == 0:
            readiness = (False, "no-note")
        elif not self._is_head_heard:
            readiness = (False, "no-head-after-freeze")
        elif self.kernel.clock.now_ms - self._heard_ms >= SILENCE_LIMIT_MS:
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

    # Learning from the table

    def _learn(self, head: int) -> None:
        self._learn_head = max(self._learn_head, head)
        sequence = self._configuration.sequence
        now_ms = self.kernel.clock.now_ms
        started_ms = self._learn_started_ms
        is_in_progress = started_ms is not None and now_ms - started_ms < REPLY_LIMIT_MS
        if sequence >= self._learn_head or is_in_progress:
            return
        self._learn_started_ms = now_ms
        if self._decisions.is_snapshot_wanted(sequence, self._learn_head):
            self._ask(TableReadRequested, self._on_snapshot_row_read, SNAPSHOT_KEY)
        else:
            self._scan()

    def _on_snapshot_row_read(self, result: Row | RowAbsent | TableUnavailable) -> None:
        sequence = self._configuration.sequence
        if not isinstance(result, Row) or result.value["sequence"] <= sequence:
            self._scan()
            return

        def on_object_read(found: Any) -> None:
            self._install_snapshot(result, found)
            self._scan()

        self._ask(ObjectGetRequested, on_object_read, result.value["object_name"])

    def _install_snapshot(self, row: Row, found: Any) -> None:
        sequence = row.value["sequence"]
        fault = ""
        if not isinstance(found, ObjectFound):
            fault = found.reason
        elif self._decisions.digest_bytes(found.data) != row.value["digest"]:
            fault = "digest mismatch"
        else:
            try:
                configuration = decode_snapshot(found.data)
            except CodecError as error:
                fault = str(error)
        if fault:
            logger.warning(
                "notes: skipped snapshot {}: {}; replaying notes.", sequence, fault
            )
            self._record_event("snapshot-skipped", sequence, reason=fault)
        elif configuration.sequence > self._configuration.sequence:
            self._configuration = configuration
            self._recent.clear()
            self._record_event("snapshot-applied", sequence)
            self._publish()

    def _scan(self) -> None:
        after = self._configuration.sequence

        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            self._learn_started_ms = None
            if not isinstance(result, TableUnavailable):
                self._take(self._decode_rows(result))
            # Without progress the next poll tries again.
            if after < self._configuration.sequence < self._learn_head:
                self._learn_started_ms = self.kernel.clock.now_ms
                self._scan()

        self._ask(
            TableScanRequested,
            on_scanned,
            note_key(after),
            NOTES_END,
            SCAN_LIMIT_ROWS,
        )

    def _decode_rows(self, rows: Iterable[Row]) -> list[AcceptedNote]:
        notes = []
        for row in rows:
            try:
                notes.append(accepted_from_row(row.value))
            except CodecError as error:
                logger.error("notes: row {} cannot be read: {}.", row.key, error)
                break
        return notes

    # Learning from peers

    def _on_head_heard(self, message: HeadHeard) -> None:
        self._hear(is_head=True)
        sequence = self._configuration.sequence
        if message.sequence <= sequence:
            return
        if message.sequence >= self._pull_head or self._pull_head <= sequence:
            self._pull_head = message.sequence
            self._pull_address = message.address
        # A large gap is closed from a snapshot if the table answers.
        is_learning = self._learn_started_ms is not None
        if not (
            is_learning
            and self._decisions.is_snapshot_wanted(sequence, message.sequence)
        ):
            self._pull()

    def _pull(self) -> None:
        now_ms = self.kernel.clock.now_ms
        if now_ms < self._pull_until_ms or self._pull_address is None:
            return
        self._pull_until_ms = now_ms + PULL_RETRY_MS
        self.send(
            "note_transfer",
            NotesPullRequested(self._pull_address, self._configuration.sequence),
        )

    def _on_notes_offered(self, message: NotesOffered) -> None:
        before = self._configuration.sequence
        self._take(message.notes)
        if before < self._configuration.sequence < self._pull_head:
            self._pull_until_ms = 0.0
            self._pull()

    def _on_notes_requested(self, message: NotesRequested) -> None:
        def reply(notes: Iterable[AcceptedNote]) -> None:
            self.send(message.reply_to, NotesReplied(message.token, tuple(notes)))

        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            if isinstance(result, TableUnavailable):
                reply(islice(self._recent, message.limit))
            else:
                reply(self._decode_rows(result))

        kept = self._recent_after(message.after)
        if kept is not None:
            reply(kept[: message.limit])
            return
        self._ask(
            TableScanRequested,
            on_scanned,
            note_key(message.after),
            NOTES_END,
            min(message.limit, SCAN_LIMIT_ROWS),
        )

    def _recent_after(self, after: int) -> list[AcceptedNote] | None:
        if after >= self._configuration.sequence:
            return []
        if not self._recent or self._recent[0].sequence > after + 1:
            return None
        start = after + 1 - self._recent[0].sequence
        return list(islice(self._recent, start, None))

    # The configuration in force

    def _take(self, notes: Iterable[AcceptedNote]) -> None:
        before = self._configuration
        for accepted in notes:
            if not self._decisions.is_next(self._configuration.sequence, accepted):
                continue
            try:
                self._configuration = self._decisions.apply_note(
                    self._configuration, accepted
                )
            except DecisionError as error:
                logger.error("notes: note {} not applied: {}.", accepted[0], error)
                self._record_event("note-failed", accepted.sequence, error=str(error))
                break
            self._recent.append(accepted)
            self._record_event(
                "note-applied", accepted.sequence, note_id=accepted.note.note_id
            )
            if self._decisions.is_snapshot_due(accepted.sequence):
                self._snapshot = self._configuration
        if self._configuration is not before:
            self._publish()
            self._plan_snapshot()

    def _publish(self) -> None:
        configuration = self._configuration
        logger.info("notes: note {} is in force.", configuration.sequence)
        for follower in FOLLOWERS:
            self.send(follower, ConfigurationChanged(configuration))
        self.send("peers", HeadChanged(configuration.sequence))
        self._update_readiness()

    # Submissions

    def _on_note_submitted(self, message: NoteSubmitted) -> None:
        note = message.note
        refused = check_form(note)
        if refused is None:
            try:
                body, digest = note_to_dict(note), digest_note(note)
            except CodecError as error:
                refused = NoteRefused(str(error))
        if refused is not None:
            self._tell(message, refused)
            return
        number = next(self._submission_ids)
        submission = Submission(
            f"{self._submission_prefix}-{number}",
            note,
            body,
            digest,
            self.kernel.clock.now_ms + SUBMISSION_LIMIT_MS,
        )
        record = _Record(message, submission)
        self._after(SUBMISSION_LIMIT_MS, lambda: self._expire(record))
        self._take_step(record, HeadReadNeeded())

    def _expire(self, record: _Record) -> None:
        # Bounds the wait for a reply of the platform, too.
        if not record.is_decided:
            submission = record.submission
            is_open = submission.is_append_open or record.is_append_in_flight
            self._on_decided(
                record, expire(submission._replace(is_append_open=is_open))
            )

    def _advance(self, record: _Record, advanced: tuple[Submission, Step]) -> None:
        # After the submitter was told, nothing more is written.
        if not record.is_decided:
            record.submission, step = advanced
            self._take_step(record, step)

    def _take_step(self, record: _Record, step: Step) -> None:
        if isinstance(step, Decided):
            self._on_decided(record, step.result)
        elif isinstance(step, CatchUpNeeded):
            self._catch_up(record, step)
        elif isinstance(step, AppendNeeded):
            self._after(step.delay_ms, lambda: self._append_for(record, step))
        else:
            self._after(step.delay_ms, lambda: self._read_for(record, step))

    def _append_for(self, record: _Record, step: AppendNeeded) -> None:
        def on_replied(result: Any) -> None:
            record.is_append_in_flight = False
            advance(result)

        if record.is_decided:
            return
        advance = self._advance_by(record, self._decisions.after_append)
        record.is_append_in_flight = True
        self._ask(TableTransactRequested, on_replied, step.transaction)

    def _read_for(
        self, record: _Record, step: HeadReadNeeded | NoteIdReadNeeded
    ) -> None:
        if isinstance(step, HeadReadNeeded):
            key, decide = HEAD_KEY, after_head_read
        else:
            key = note_id_key(record.submission.note.note_id)
            decide = self._decisions.after_note_id_read
        self._ask(TableReadRequested, self._advance_by(record, decide), key)

    def _advance_by(
        self, record: _Record, decide: Callable[..., tuple[Submission, Step]]
    ) -> Callable[[Any], None]:
        def advance(result: Any) -> None:
            now_ms = self.kernel.clock.now_ms
            self._advance(record, decide(record.submission, result, now_ms))

        return advance

    def _catch_up(self, record: _Record, step: CatchUpNeeded) -> None:
        def retry() -> None:
            self._after(CATCH_UP_RETRY_MS, lambda: self._catch_up(record, step))

        def finish(newer: Iterable[AcceptedNote]) -> None:
            note = record.submission.note
            configuration = self._configuration
            self._advance(
                record,
                after_catch_up(
                    record.submission,
                    configuration,
                    self._decisions.check_note(configuration, note),
                    self._decisions.find_conflict(
                        note, (n for n in newer if n.sequence <= step.sequence)
                    ),
                    self.kernel.clock.now_ms,
                ),
            )

        if record.is_decided:
            return
        if self._configuration.sequence < step.sequence:
            self._learn(step.sequence)
            retry()
            return
        kept = self._recent_after(step.after)
        if kept is not None:
            finish(kept)
        else:
            self._scan_newer(step.after, step.sequence, [], finish, retry)

    def _scan_newer(
        self,
        after: int,
        sequence: int,
        found: list[AcceptedNote],
        finish: Callable[[Sequence[AcceptedNote]], None],
        retry: Callable[[], None],
    ) -> None:
        def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
            notes = (
                []
                if isinstance(result, TableUnavailable)
                else self._decode_rows(result)
            )
            if not notes:
                retry()
                return
            found.extend(notes)
            last = notes[-1].sequence
            if last >= sequence:
                finish(found)
            else:
                self._scan_newer(last, sequence, found, finish, retry)

        self._ask(
            TableScanRequested,
            on_scanned,
            note_key(after),
            NOTES_END,
            SCAN_LIMIT_ROWS,
        )

    def _on_decided(
        self, record: _Record, result: NoteAccepted | NoteRefused | NoteOutcomeUnknown
    ) -> None:
        record.is_decided = True
        self._tell(record.submitted, result)
        if isinstance(result, NoteAccepted):
            # Applied at once, so that peers learn the note from here even if
            # the table service fails now.
            self._take([AcceptedNote(result.sequence, record.submitted.note)])
            self._learn(result.sequence)

    def _tell(
        self,
        submitted: NoteSubmitted,
        result: NoteAccepted | NoteRefused | NoteOutcomeUnknown,
    ) -> None:
        self.send(submitted.reply_to, NoteDecided(submitted.token, result))
        self._record_event(
            "note-decided",
            result.sequence if isinstance(result, NoteAccepted) else 0,
            note_id=submitted.note.note_id,
            result=type(result).__name__,
            reason=getattr(result, "reason", ""),
        )

    # Snapshots

    def _plan_snapshot(self) -> None:
        if self._snapshot is None or self._is_snapshot_in_progress:
            return
        self._is_snapshot_in_progress = True
        delay_ms = self._random.uniform(1.0, SNAPSHOT_SPREAD_MS)
        self._after(delay_ms, self._write_snapshot)

    def _end_snapshot(self, written: Configuration | None) -> None:
        if written is self._snapshot:
            self._snapshot = None
        self._is_snapshot_in_progress = False
        self._plan_snapshot()

    def _write_snapshot(self) -> None:
        configuration = self._snapshot
        assert configuration is not None
        sequence = configuration.sequence

        def on_row_read(present: Row | RowAbsent | TableUnavailable) -> None:
            if isinstance(present, TableUnavailable):
                self._end_snapshot(None)
            elif is_superseded(present, sequence):
                self._end_snapshot(configuration)
            else:
                self._store_snapshot(configuration, present)

        self._ask(TableReadRequested, on_row_read, SNAPSHOT_KEY)

    def _store_snapshot(
        self, configuration: Configuration, present: Row | RowAbsent
    ) -> None:
        sequence = configuration.sequence
        data = encode_snapshot(configuration)

        def on_stored(result: Any) -> None:
            if not isinstance(result, ObjectStored):
                self._end_snapshot(None)
                return
            transaction = plan_snapshot(
                present,
                sequence,
                self._decisions.digest_bytes(data),
                f"{self._submission_prefix}-snapshot-{sequence}",
            )
            assert not isinstance(transaction, SnapshotSuperseded)
            self._ask(TableTransactRequested, on_named, transaction)

        def on_named(result: Any) -> None:
            if isinstance(result, Committed):
                logger.info("notes: stored snapshot {}.", sequence)
                self._record_event("snapshot-stored", sequence)
                self._end_snapshot(configuration)
            else:
                # Lost to another instance, or no reply: the row tells.
                self._end_snapshot(None)

        self._ask(ObjectPutRequested, on_stored, snapshot_name(sequence), data)
