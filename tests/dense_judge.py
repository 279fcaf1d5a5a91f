"""Judges what a dense trial has recorded by the rules of the pages. Times in seconds."""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import pairwise

from dense_peers import Request, Standing, TrialChannel, TrialNode, TrialRecord, Try

from oakcroft.platformwire import framing

SLACK = 0.05
"""By which every time limit is longer (PROTOCOL)."""

READ_ORDER = 0.02
"""Within which the nodes of one process read what the front end has written in one step, in any order."""

LATE_ANSWER = 0.5 + SLACK
"""Up to which after its time an answer only earns nothing."""

CROSSING_CLOSE = 0.05
"""Time within which a set-up crosses the close of its connection, and is sent once more."""

RELEASE_AFTER_END = 8.0 + SLACK
RELEASE_AFTER_TOLD = 1.0 + SLACK
GRACE = 0.25 + SLACK
TOLD_AFTER_TROUBLE = 6.0
"""After a call that failed, a change counts as told so long after discovery had it and could be reached."""

LONG_HANG = 3.0
"""A node that hangs for longer may lose its sessions."""

PROOF = 9.0
"""Time before the loss of a session in which its node must have lived."""

REJECTIONS = (34, 42, 102)


def judge(
    record: TrialRecord, nodes: list[TrialNode], channel: TrialChannel, stops: list[float], ended_at: float
) -> list[str]:
    """Returns the breaches of the rules. `stops`: when the front end got SIGTERM."""
    return [
        *record.unreadable_lines,
        *judge_answers(record, stops, ended_at),
        *judge_tries(record),
        *judge_releases(record, ended_at),
        *judge_drains(record, nodes, channel),
        *judge_losses(record, channel),
    ]


def judge_answers(record: TrialRecord, stops: list[float], ended_at: float) -> list[str]:
    """Every set-up gets one whole answer in time, unless its viewer gave it up."""
    breaches = []
    for request in record.requests.values():
        due_at = request.abandon_at + LATE_ANSWER
        was_kept = request.given_up_at > due_at
        if not was_kept or due_at > ended_at:
            continue
        first_at = request.answers[0][0] if request.answers else math.inf
        if first_at <= due_at:
            if [kind for _, kind, _ in request.answers].count(framing.ANSWER) > 1:
                breaches.append(f"answered twice: {request}")
            continue
        is_excused = request.connection_ended_at - request.sent_at <= CROSSING_CLOSE or any(
            request.sent_at > stop + 0.7 for stop in stops if request.sent_at < stop + 5
        )
        if not is_excused:
            breaches.append(f"lost: {request}")
    return breaches


def judge_tries(record: TrialRecord) -> list[str]:
    """A paid set-up runs once; none has two tries out; none is rejected that may have run."""
    breaches = []
    tries = defaultdict[str, list[Try]](list)
    for attempt in record.tries:
        tries[attempt.session_id].append(attempt)
    for session_id, own in tries.items():
        request = record.requests.get(session_id)
        for earlier, later in pairwise(own):
            if later.at < earlier.ended_at - READ_ORDER and not earlier.was_delayed and not later.was_delayed:
                breaches.append(f"two tries out: {earlier}, {later}")
        if request is None or request.plan != "paid":
            continue
        if len(own) - sum(attempt.proven_unrun for attempt in own[:-1]) > 1:
            breaches.append(f"a paid set-up twice: {own}")
        is_rejected = bool(request.answers) and request.answers[0][1:] in [
            (framing.RELEASE, cause) for cause in REJECTIONS
        ]
        if is_rejected and not all(attempt.proven_unrun for attempt in own):
            breaches.append(f"a paid set-up rejected that may have run: {own}")
    return breaches


def has_heard_answer(request: Request | None, session: Standing) -> bool:
    """Whether a viewer knows of its session at a node, and still wants it."""
    if request is None or not request.answers or request.answers[0][1] != framing.ANSWER:
        return False
    return request.answered_by == session.name and request.given_up_at == math.inf


def judge_releases(record: TrialRecord, ended_at: float) -> list[str]:
    """What has stood and is over is released towards its viewer in time."""
    breaches = []
    for session in record.sessions:
        request = record.requests.get(session.session_id)
        if not has_heard_answer(request, session):
            continue
        assert request is not None
        known_at = max(session.over_at, request.handed_over_at + 0.2)
        due_at = known_at + RELEASE_AFTER_END
        if session.told_at < math.inf and not was_cut_off(session):
            due_at = max(session.told_at, request.handed_over_at + 0.2) + RELEASE_AFTER_TOLD
        if due_at < ended_at and request.release_at > due_at:
            late = request.release_at - known_at
            breaches.append(f"never released in time ({late:.2f} s after): {describe(session)} {request}")
    return breaches


def was_cut_off(session: Standing) -> bool:
    """Whether the connections of its node were reset close to its release, which then may have been lost."""
    return (
        abs(session.node.disturbed_at - session.told_at) < 1.0 or session.stream not in session.node.streams
    )


def judge_losses(record: TrialRecord, channel: TrialChannel) -> list[str]:
    """No session is ended by the front end at a node that lives, and hangs for a short time at most."""
    breaches = []
    for session in record.sessions:
        at = session.closed_by_front_at
        request = record.requests.get(session.session_id)
        if at == math.inf or not has_heard_answer(request, session):
            continue
        has_hung_long = any(
            end - begin > LONG_HANG and begin < at < end + PROOF for begin, end in session.node.hangs
        )
        was_unlisted = any(
            name == session.name and phase == "removed" and told < at
            for told, phase, name in session.node.told_phases
        )
        # It was set up under the name of the node that had the address before, and ends with that name.
        was_named_later = any(
            name == session.name and phase == "up" and counts_as_told(told, channel) > session.began_at
            for told, phase, name in session.node.told_phases
        )
        if not has_hung_long and not was_unlisted and not was_named_later:
            breaches.append(f"a session cut off at a node that lives, at {at:.2f}: {describe(session)}")
    return breaches


def counts_as_told(at: float, channel: TrialChannel) -> float:
    """Returns when a change counts as told that discovery had at a time."""
    for begin, end in channel.troubles:
        if begin <= at <= end + TOLD_AFTER_TROUBLE:
            return max(at, end) + TOLD_AFTER_TROUBLE
    return at


def judge_drains(record: TrialRecord, nodes: list[TrialNode], channel: TrialChannel) -> list[str]:
    """Nothing new goes to a draining or removed node after the grace."""
    breaches = []
    for node in nodes:
        for at, phase, name in node.told_phases:
            later = (
                other_at
                for other_at, other, own in node.told_phases
                if own == name and other == "up" and other_at > at
            )
            again_at = min(later, default=math.inf)
            told_at = counts_as_told(at, channel)
            if phase == "up":
                continue
            breaches += [
                f"{name} {phase} at {at:.2f}, told {told_at:.2f}, got {attempt}"
                for attempt in record.tries
                if attempt.node == name
                and not attempt.was_delayed
                and told_at + GRACE < attempt.at < again_at
            ]
    return breaches


def describe(session: Standing) -> str:
    """Describes a session at its node in one line."""
    return (
        f"{session.session_id} at {session.name} from {session.began_at:.2f}, over {session.over_at:.2f},"
        f" told {session.told_at:.2f}, closed {session.closed_by_front_at:.2f}"
    )
