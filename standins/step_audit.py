"""Check that each layer ran once, in order, at each position of a session.

Consecutive steps are merged into spans, so a correct session takes one span,
however long it is.
"""

import collections
import dataclasses
import itertools
from collections import abc

import immutables

MAXIMUM_SESSIONS = 50_000
REPEATED = 'repeated'
OUT_OF_ORDER = 'out_of_order'


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Record that layers ran in order at the positions `first` to `end`.

    Layers and positions are half-open ranges. `imported` means that another
    engine ran the positions before `first`.
    """

    first_layer: int
    end_layer: int
    first: int
    end: int
    imported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Hold the spans of the latest sessions.

    `order` lists the sessions by their first step, `forgotten` counts those
    that were dropped.
    """

    spans: immutables.Map[str, tuple[Span, ...]] = immutables.Map()
    order: tuple[str, ...] = ()
    forgotten: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Describe positions at which a layer ran `count` times or out of order.

    `kind` is `repeated`, or `out_of_order` if the position did not follow the
    last one that the layer ran.
    """

    session: str
    kind: str
    layer: int
    first: int
    end: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class AuditPage:
    """Hold the violations, and all spans if they were requested.

    `sessions` counts the sessions that were checked, `forgotten` those that
    were dropped before.
    """

    violations: tuple[Violation, ...]
    sessions: int
    forgotten: int
    spans: dict[str, tuple[Span, ...]]


def record_span(session: str, new_span: Span, audit: Audit) -> Audit:
    """Add a span to a session, merged with the last one if it continues it."""
    spans = audit.spans.get(session)
    if spans is None:
        audit = drop_oldest_sessions(audit)
        return Audit(
            audit.spans.set(session, (new_span,)),
            (*audit.order, session),
            audit.forgotten,
        )
    last = spans[-1]
    follows = (last.first_layer, last.end_layer, last.end) == (
        new_span.first_layer,
        new_span.end_layer,
        new_span.first,
    )
    if follows and not new_span.imported:
        merged = dataclasses.replace(last, end=new_span.end)
        spans = (*spans[:-1], merged)
    else:
        spans = (*spans, new_span)
    return dataclasses.replace(audit, spans=audit.spans.set(session, spans))


def drop_oldest_sessions(audit: Audit) -> Audit:
    """Drop the older half of the sessions if the limit is reached."""
    if len(audit.order) < MAXIMUM_SESSIONS:
        return audit
    half = MAXIMUM_SESSIONS // 2
    kept = audit.order[half:]
    return Audit(
        immutables.Map({name: audit.spans[name] for name in kept}),
        kept,
        audit.forgotten + half,
    )


def find_violations(
    session: str,
    spans: abc.Iterable[Span],
) -> tuple[Violation, ...]:
    """Return where a layer ran more than once or out of order."""
    by_layer: dict[int, list[Span]] = collections.defaultdict(list)
    for span in spans:
        for layer in range(span.first_layer, span.end_layer):
            by_layer[layer].append(span)
    return tuple(
        itertools.chain.from_iterable(
            (
                *find_repeats(session, layer, layer_spans),
                *find_out_of_order(session, layer, layer_spans),
            )
            for layer, layer_spans in sorted(by_layer.items())
        )
    )


def find_repeats(
    session: str,
    layer: int,
    spans: list[Span],
) -> tuple[Violation, ...]:
    """Return the positions that one layer ran more than once."""
    if len(spans) == 1:
        return ()
    bounds = sorted(
        {span.first for span in spans} | {span.end for span in spans}
    )
    violations: list[Violation] = []
    for first, end in itertools.pairwise(bounds):
        count = sum(span.first <= first < span.end for span in spans)
        if count > 1:
            violations.append(
                Violation(session, REPEATED, layer, first, end, count),
            )
    return tuple(violations)


def find_out_of_order(
    session: str,
    layer: int,
    spans: list[Span],
) -> tuple[Violation, ...]:
    """Return the spans of one layer that do not continue the previous one."""
    violations: list[Violation] = []
    expected = 0
    for span in spans:
        if span.first != expected and not span.imported:
            violations.append(
                Violation(
                    session, OUT_OF_ORDER, layer, span.first, span.end, 1
                ),
            )
        expected = span.end
    return tuple(violations)


def build_page(audit: Audit, *, with_spans: bool) -> AuditPage:
    """Return the violations of all sessions that have not been dropped."""
    return AuditPage(
        tuple(
            itertools.chain.from_iterable(
                find_violations(session, spans)
                for session, spans in audit.spans.items()
            )
        ),
        len(audit.order),
        audit.forgotten,
        dict(audit.spans) if with_spans else {},
    )
