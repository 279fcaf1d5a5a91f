"""Messages of catalogue rollouts between front ends: plans, operators' requests and reports, in MessagePack."""

from __future__ import annotations

import re

import msgspec

from oakcroft.catalogue.text import format_catalogue, text_digest
from oakcroft.decisions.fleet.lease import MAX_NOTE_OCTETS
from oakcroft.decisions.fleet.rollout import ROLLOUT_SHARES, FrontReport, RolloutPlan, RolloutStage

CATALOGUE_LEASE = "catalogue"
"""Name of the lease whose holder runs the rollouts."""

REQUEST_ORDER = "submit"
REQUEST_REPLY = "submitted"
"""Lease names on the wire of an operator's request on its way to the lease holder, and of the holder's reply."""

EMPTY_DIGEST = text_digest(format_catalogue((), True))
"""Digest of the empty catalogue, for a front end without one."""

DIGEST_PATTERN = re.compile("[0-9a-f]{24}")


class PlanMessage(msgspec.Struct, array_like=True, frozen=True):
    """A rollout plan as it is recorded and sent with each order.

    Encoded by position; stages are encoded by their numbers, which must not change between releases.
    """

    number: int
    digest: str
    base_digest: str
    stage: RolloutStage
    step: int
    share_index: int
    watch_time: int
    force: bool
    change_reason: str
    end_reason: str

    def to_plan(self) -> RolloutPlan:
        """Returns the decoded plan, not yet validated."""
        return RolloutPlan(
            self.number,
            self.digest,
            self.base_digest,
            self.stage,
            self.step,
            self.share_index,
            self.watch_time,
            self.force,
            self.change_reason,
            self.end_reason,
        )


class RolloutRequest(msgspec.Struct, array_like=True, frozen=True):
    """An operator's request, forwarded to the lease holder. Encoded by position.

    Starts a rollout of the version with this digest; an empty digest rolls the current rollout back.
    """

    digest: str
    base_digest: str
    watch_time: int
    force: bool
    change_reason: str


class ReportBody(msgspec.Struct, array_like=True, frozen=True):
    """What a front end reports to the lease holder after an order. Encoded by position."""

    step: int
    has_text: bool
    active_digest: str
    is_in_share: bool
    refused: str
    answers: int
    failures: int
    has_no_catalogue: bool = False

    def to_report(self) -> FrontReport:
        """Returns the decoded report."""
        return FrontReport(
            self.step,
            self.has_text,
            self.active_digest,
            self.is_in_share,
            self.refused,
            self.answers,
            self.failures,
            self.has_no_catalogue,
        )


ENCODER = msgspec.msgpack.Encoder()
PLAN_DECODER = msgspec.msgpack.Decoder(PlanMessage)
REQUEST_DECODER = msgspec.msgpack.Decoder(RolloutRequest)
REPORT_DECODER = msgspec.msgpack.Decoder(ReportBody)


def encode_plan(plan: RolloutPlan) -> bytes:
    """Encodes a plan; the free-text reasons are shortened until it fits into a lease note."""
    change_reason = plan.change_reason
    end_reason = plan.end_reason
    while True:
        encoded = ENCODER.encode(
            PlanMessage(
                plan.number,
                plan.digest,
                plan.base_digest,
                plan.stage,
                plan.step,
                plan.share_index,
                plan.watch_time,
                plan.force,
                change_reason,
                end_reason,
            )
        )
        if len(encoded) <= MAX_NOTE_OCTETS or not (change_reason or end_reason):
            return encoded
        change_reason = change_reason[: len(change_reason) // 2]
        end_reason = end_reason[: max(0, len(end_reason) - 10)]


def decode_plan(body: bytes) -> RolloutPlan:
    """Decodes a recorded or received plan.

    Raises ValueError if it cannot be decoded, or if a digest or number in it is invalid.
    """
    plan = PLAN_DECODER.decode(body).to_plan()
    if not (DIGEST_PATTERN.fullmatch(plan.digest) and DIGEST_PATTERN.fullmatch(plan.base_digest)):
        raise ValueError("digests must be 24 hexadecimal digits")
    if not 0 <= plan.share_index < len(ROLLOUT_SHARES) or plan.step < 1 or plan.watch_time < 0:
        raise ValueError("share index, step or watch time is out of range")
    return plan


def decode_request(body: bytes) -> RolloutRequest:
    """Decodes an operator's request that another front end has forwarded.

    Raises ValueError if it cannot be decoded, or if a digest or number in it is invalid.
    """
    request = REQUEST_DECODER.decode(body)
    if request.digest and not (
        DIGEST_PATTERN.fullmatch(request.digest)
        and DIGEST_PATTERN.fullmatch(request.base_digest)
        and request.watch_time >= 0
    ):
        raise ValueError("a digest or the watch time is invalid")
    return request
