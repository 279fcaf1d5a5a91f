"""Short, dense trials of one front end process, with faults drawn from seeds (`dense_trial.py`)."""

from __future__ import annotations

from dense_trial import keep_record, play_seeds

SEEDS = range(1, 5)
MIN_ANSWERED = 50
"""Answered set-ups without which a trial shows nothing."""


def test_dense_trials_keep_every_rule() -> None:
    """Guards against faults that only show in combination: hangs, replacements, drains, resets, restarts, bad clients."""
    broken = list[str]()
    for result in play_seeds(SEEDS, len(SEEDS)):
        assert result.answered >= MIN_ANSWERED
        if result.breaches:
            broken.append(f"seed {result.seed}, record {keep_record(result)}: {result.breaches}")
    assert not broken
