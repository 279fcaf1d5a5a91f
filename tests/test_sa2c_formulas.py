"""The formulas of SA2C (the paper's admission control) at the ends of their ranges."""

from collections import deque

import pytest

from oakcroft import choice


def test_a_forecast_continues_a_straight_line_and_is_never_negative() -> None:
    """A forecast is the next point of the fitted line, or 0 where that is negative."""
    assert choice.forecast(deque([0.1, 0.2, 0.3, 0.4, 0.5])) == pytest.approx(0.6)
    assert choice.forecast(deque([0.7])) == pytest.approx(0.7)
    assert choice.forecast(deque([0.9, 0.5, 0.1])) == 0.0


def test_cluster_load_weighs_mean_and_variance() -> None:
    """Mean and variance are weighted by alpha and 1 - alpha."""
    assert choice.cluster_load([0.5, 0.5]) == pytest.approx(choice.ALPHA * 0.5)
    assert choice.cluster_load([0.0, 1.0]) == pytest.approx(choice.ALPHA * 0.5 + (1 - choice.ALPHA) * 0.25)


def test_x_is_the_measured_load_at_full_prediction_error_and_the_predicted_load_at_none() -> None:
    """The weight of the prediction falls with the error of the last prediction."""
    assert choice.blend_loads(1.0, 0.2, 0.8) == 0.8
    assert choice.blend_loads(0.0, 0.2, 0.8) == 0.2


def test_the_rejection_probability_rises_between_the_thresholds() -> None:
    """The probability of a rejection rises from 0 at T1 to 1 at T2."""
    t1, t2 = choice.T1, choice.T2
    assert choice.rejection_probability(t1, t2) == 0.0
    assert choice.rejection_probability((t1 + t2) / 2, t2) == pytest.approx(0.5)
    assert choice.rejection_probability(t2, t2) == 1.0


def test_the_step_down_probability_is_highest_at_both_ends() -> None:
    """The probability is 1 at T3 and at the cap of the load, and lowest midway."""
    t3, max_load = choice.T3, choice.MAX_SAMPLED_LOAD
    assert choice.step_down_probability(t3, t3) == 1.0
    assert choice.step_down_probability((t3 + max_load) / 2, t3) == pytest.approx(0.5)
    assert choice.step_down_probability(max_load + 5, t3) == 1.0
