"""A playback that runs already, taken on: by a front that starts again, or from one that will not come back."""

from __future__ import annotations

from oakcroft.choice import digest
from oakcroft.decisions.admission.patience import Due
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.sessions.resource import Resource
from oakcroft.decisions.state.remembered import Promise
from oakcroft.front.nodeleg import NodeLeg
from oakcroft.front.steering import Steering
from oakcroft.front.viewing import Upstream, Viewing
from oakcroft.interface import Node, Playback


def viewing(helm: Steering, promise: Promise) -> Viewing | None:
    """A promise as a viewing; None where its plan or title has no place here any more."""
    plan = helm.site.plans.get(promise.plan)
    title = helm.titles.get(promise.title, digest(promise.title) % helm.site.terms.cells)
    if plan is None or title is None:
        return None
    pb = Playback(title, plan.plan, promise.top, promise.abandon, False)
    pb.rung = max(plan.plan.floor, min(promise.rung, plan.plan.top))
    v = Viewing(promise.id, promise.path, plan, promise.publishes, promise.key, "", promise.ufrag,
                Due(promise.written, promise.abandon), pb)  # fmt: skip
    v.token, v.about, v.seated = promise.token, promise.about, promise.seated
    v.asked_top = pb.top
    return v


def resume(helm: Steering, v: Viewing, node: Node) -> None:
    """The module takes it on as one that plays: its seat and its load count from now on."""
    helm.viewings[v.pb] = v
    helm.controller.resumed(v.pb, node, helm.clock.now())


def plays_on(helm: Steering, v: Viewing, leg: NodeLeg, upstream: Upstream) -> None:
    """Its viewer finds it here from now on, and the node's word on it is heard."""
    v.final, v.upstream = Final.PLAYS, upstream
    v.resource = Resource(upstream.tag, v.ufrag)
    helm.sessions[v.id] = v
    helm.upstreams[upstream.node, upstream.resource] = v
    helm.playing += 1
    leg.claims.claim(upstream.resource, helm.clock.now())
