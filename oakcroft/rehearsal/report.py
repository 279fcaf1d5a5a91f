"""What a rehearsal has shown, as text."""

from __future__ import annotations

from oakcroft.rehearsal.outcome import Outcome
from oakcroft.rulecheck.session_ownership import count_taken_over_and_ended, takeover_delays


def rule_lines(outcome: Outcome) -> list[str]:
    """A line for each rule, its breaches below it."""
    out = []
    for f in outcome.findings:
        out.append(
            f"  {f.rule} {f.name:30} {f.cases:6} cases  {len(f.breaches):3} breaches"
            + (f"  ({f.excused} fell due while a front stood still)" if f.excused else "")
        )
        out += [f"      {b}" for b in f.breaches[:8]]
    return out


def format_share(part: float, whole: float) -> str:
    """A share in hundredths."""
    return f"{100 * part / whole:5.1f}%" if whole else "    -"


def figure_lines(outcome: Outcome) -> list[str]:
    """Answers by kind, and revenue asked and answered within the startup target."""
    t, plans = outcome.tally, outcome.day.site.plans
    out = [f"  {n:6}  {what}" for what, n in t.answers.most_common()]
    asked = sum(n * plans[p].plan.revenue for p, n in t.asked.items())
    inside = sum(n * plans[p].plan.revenue for p, n in t.in_target.items())
    out.append(f"  viewers {sum(t.asked.values())}, requests {t.requests}, playbacks broken {t.lost}")
    part = format_share(inside, asked).strip()
    out.append(f"  revenue asked {asked:.0f}, answered within the startup target {inside:.0f} ({part})")
    for plan in sorted(t.asked):
        earned, offered = outcome.earned.get(plan, 0.0), t.offered.get(plan, 0.0)
        out.append(
            f"  {plan:16} in target {format_share(t.in_target[plan], t.asked[plan])}"
            f"  served {format_share(t.served[plan], t.asked[plan])}"
            f"  revenue played {format_share(earned, offered)} of what its viewers could have had"
        )
    if t.waits:
        waits = sorted(t.waits)
        p = [waits[min(len(waits) - 1, int(len(waits) * q))] / 1e6 for q in (0.5, 0.99)]
        out.append(f"  a 201 took p50 {p[0]:.0f} ms, p99 {p[1]:.0f} ms")
    if outcome.day.adopting:
        passed, ended = count_taken_over_and_ended(outcome.facts)
        after = takeover_delays(outcome.facts)
        when = (
            f", {after[len(after) // 2]:.1f} s (p50) and {after[-1]:.1f} s at most after its end"
            if after
            else ""
        )
        out.append(f"  playbacks that outlived their front {passed}{when}; ended with their front {ended}")
    if outcome.overloaded_cold_nodes:
        out.append(f"  cold nodes pushed over: {outcome.overloaded_cold_nodes}")
    return out


def render_report(outcome: Outcome, baseline: Outcome | None) -> str:
    """The report."""
    d = outcome.day
    out = [
        f"day {d.name}, seed {d.seed}: {len(d.fronts)} fronts, {len(d.nodes)} nodes, {d.length / 1e9:.0f} s",
        f"faults ({len(outcome.faults)} kinds): {', '.join(outcome.faults)}",
        "rules, from the sockets:",
        *rule_lines(outcome),
        "answers:",
        *figure_lines(outcome),
    ]
    if baseline is not None:
        broken = sum(len(f.breaches) for f in baseline.findings)
        out += [
            f"the naive baseline on the same day (random holder, lowest rung; {broken} breaches):",
            *figure_lines(baseline),
        ]
    out += [f"failed: {f}" for f in outcome.failures]
    out.append("kept" if outcome.kept else "NOT KEPT")
    return "\n".join(out)
