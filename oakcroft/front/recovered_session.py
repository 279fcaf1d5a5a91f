"""Sessions that play already and are taken on, after a restart or from a front end that does not return."""

from __future__ import annotations

from oakcroft.choice import digest
from oakcroft.decisions.admission.deadlines import Due
from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.sessions.session_resource import Resource
from oakcroft.decisions.state.promise import Promise
from oakcroft.front.node_client import NodeLeg
from oakcroft.front.protocols import Steering
from oakcroft.front.playback_session import Upstream, Viewing
from oakcroft.interface import Node, Playback


def viewing(helm: Steering, promise: Promise) -> Viewing | None:
    """Session of a stored promise; None where its plan or its title is not available here any more."""
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
    """Tells the policy that the playback plays on a node: its seat and its load count from now on."""
    helm.viewings[v.pb] = v
    helm.controller.resumed(v.pb, node, helm.clock.now())


def plays_on(helm: Steering, v: Viewing, leg: NodeLeg, upstream: Upstream) -> None:
    """Registers a session that plays on a node, for its viewer and for the node's events."""
    v.final, v.upstream = Final.PLAYS, upstream
    v.resource = Resource(upstream.tag, v.ufrag)
    helm.sessions[v.id] = v
    helm.upstreams[upstream.node, upstream.resource] = v
    helm.playing += 1
    leg.claims.claim(upstream.resource, helm.clock.now())
