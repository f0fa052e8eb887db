"""Concludes from the reads of all instances whether the store was down."""

from math import inf

from cuminhatch.codecs.catalog_thrift import CatalogNews, ReadReport
from cuminhatch.decisions.read_span import ReadSpan, join_spans
from cuminhatch.services.catalog._view import CatalogView


def note_reads(view: CatalogView, span: ReadSpan, source: str) -> None:
    """
    Add reads to the known ones, and assume or refute an outage by them.

    :param view: state of the catalog.
    :param span: reads of this instance or of another one.
    :param source: id of the instance that has told of the reads.
    """
    before = view.read_span
    view.read_span = join_spans(before, span, view.read_gap_max_ms)
    since_ms = view.read_span.since_ms
    if before.is_known:
        is_after_outage = since_ms > before.latest_ms
    else:
        # It reads before it hears of reads, so nothing else is known.
        is_own_read = source == view.own.instance_id
        is_after_outage = is_own_read and view.is_store_unavailable
    if is_after_outage:
        view.outage_ended_ms = since_ms
        gap_ms = round(since_ms - before.latest_ms, 1) if before.is_known else None
        view.record("store_outage_assumed", {"gap_ms": gap_ms, "source": source})
    elif since_ms < view.outage_ended_ms - view.read_gap_max_ms:
        # The source knows of reads in the gap. Times that differ by less may
        # be due to the delays of messages.
        view.outage_ended_ms = -inf
        # Their grace period is over, here or at the next pull.
        missing_since_ms = dict.fromkeys(view.catalog.missing_since_ms, -inf)
        view.catalog = view.catalog._replace(missing_since_ms=missing_since_ms)
        view.record("store_outage_refuted", {"source": source})


def get_reported_span(view: CatalogView, news: CatalogNews) -> ReadSpan:
    """
    Return the reads that a message tells of, by the clock of this process.

    :param view: state of the catalog.
    :param news: message of another instance.
    """
    now_ms = view.clock.now_ms
    if news.reads is None:
        # An earlier version sends news when it has read the store.
        return ReadSpan(now_ms, now_ms)
    latest_ms = now_ms - news.reads.latest_age_ms
    return ReadSpan(latest_ms - news.reads.span_ms, latest_ms)


def make_read_report(view: CatalogView) -> ReadReport | None:
    """
    Return what other instances are told of the reads known here.

    :param view: state of the catalog.
    """
    span = view.read_span
    if not span.is_known:
        return None
    age_ms = view.clock.now_ms - span.latest_ms
    return ReadReport(int(age_ms), int(span.latest_ms - span.since_ms))
