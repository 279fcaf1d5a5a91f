"""The report on a rehearsal, as text."""

from __future__ import annotations

from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.outcome import Outcome
from oakcroft.rulecheck.session_ownership import count_taken_over_and_ended, takeover_delays

MAX_BREACHES_SHOWN = 8


def rule_lines(outcome: Outcome) -> list[str]:
    """Returns a line for each rule, followed by its first breaches."""
    lines = []
    for finding in outcome.findings:
        lines.append(
            f"  {finding.rule} {finding.name:30} {finding.cases:6} cases  {len(finding.breaches):3} breaches"
            + (f"  ({finding.excused} were due while a front was paused)" if finding.excused else "")
        )
        lines += [f"      {breach}" for breach in finding.breaches[:MAX_BREACHES_SHOWN]]
    return lines


def format_share(part: float, whole: float) -> str:
    """Formats a share as a percentage."""
    return f"{100 * part / whole:5.1f}%" if whole else "    -"


def figure_lines(outcome: Outcome) -> list[str]:
    """Returns lines with the answers by kind, the revenue by plan and the time to an answer."""
    tally = outcome.tally
    plans = outcome.day.site.plans
    lines = [f"  {count:6}  {answer}" for answer, count in tally.answers.most_common()]
    requested = sum(count * plans[name].plan.revenue for name, count in tally.viewers.items())
    in_target = sum(count * plans[name].plan.revenue for name, count in tally.in_target.items())
    viewer_count = sum(tally.viewers.values())
    lines.append(
        f"  viewers {viewer_count}, requests {tally.requests}, playbacks lost {tally.lost_playbacks}"
    )
    share = format_share(in_target, requested).strip()
    lines.append(
        f"  revenue requested {requested:.0f}, served within the startup target {in_target:.0f} ({share})"
    )
    for name in sorted(tally.viewers):
        earned = outcome.earned_revenue.get(name, 0.0)
        offered = tally.offered_revenue.get(name, 0.0)
        lines.append(
            f"  {name:16} in target {format_share(tally.in_target[name], tally.viewers[name])}"
            f"  served {format_share(tally.served[name], tally.viewers[name])}"
            f"  revenue played {format_share(earned, offered)} of what its viewers wanted"
        )
    if tally.created_times_ns:
        times = sorted(tally.created_times_ns)
        median, p99 = (times[min(len(times) - 1, int(len(times) * part))] / MS for part in (0.5, 0.99))
        lines.append(f"  time to a 201: p50 {median:.0f} ms, p99 {p99:.0f} ms")
    if outcome.day.has_takeovers:
        lines.append(_takeover_line(outcome))
    if outcome.overloaded_cold_nodes:
        lines.append(f"  cold nodes overloaded: {outcome.overloaded_cold_nodes}")
    return lines


def _takeover_line(outcome: Outcome) -> str:
    taken_over, ended = count_taken_over_and_ended(outcome.facts)
    delays = takeover_delays(outcome.facts)
    timing = ""
    if delays:
        timing = (
            f", p50 {delays[len(delays) // 2]:.1f} s and at most {delays[-1]:.1f} s after it disconnected"
        )
    return f"  playbacks taken over from a failed front {taken_over}{timing}; ended with their front {ended}"


def render_report(outcome: Outcome, baseline: Outcome | None) -> str:
    """Returns the report on an outcome, with that of the baseline on the same day if there is one."""
    day = outcome.day
    lines = [
        f"day {day.name}, seed {day.seed}: {len(day.front_zones)} fronts, {len(day.nodes)} nodes, "
        f"{day.duration_ns / SECOND:.0f} s",
        f"faults ({len(outcome.faults)} kinds): {', '.join(outcome.faults)}",
        "rules, checked against the recorded traffic:",
        *rule_lines(outcome),
        "answers:",
        *figure_lines(outcome),
    ]
    if baseline is not None:
        breaches = sum(len(finding.breaches) for finding in baseline.findings)
        lines += [
            f"the naive baseline on the same day (random node with the title, lowest rung; {breaches} breaches):",
            *figure_lines(baseline),
        ]
    lines += [f"failed: {failure}" for failure in outcome.failures]
    lines.append("kept" if outcome.kept else "NOT KEPT")
    return "\n".join(lines)
