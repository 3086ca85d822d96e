"""Tests of the gamma distribution function against known values and samples."""

import math
import random

import pytest

from bulrushlead.routing._gamma import gamma_cdf_by_moments


@pytest.mark.parametrize("x", [0.1, 0.5, 1.0, 3.0, 20.0])
def test_shape_one_equals_the_exponential_distribution(x):
    found = gamma_cdf_by_moments(x, mean=2.0, variance=4.0)
    assert found == pytest.approx(1.0 - math.exp(-x / 2.0), rel=1e-6)


@pytest.mark.parametrize(("shape", "scale"), [(0.5, 30.0), (4.0, 5.0), (50.0, 0.4)])
def test_agrees_with_random_variates(shape, scale):
    rng = random.Random(3)
    variates = [rng.gammavariate(shape, scale) for _ in range(20_000)]
    for x in (0.3 * shape * scale, shape * scale, 2.5 * shape * scale):
        expected = sum(variate <= x for variate in variates) / len(variates)
        found = gamma_cdf_by_moments(x, shape * scale, shape * scale**2)
        # Five standard deviations of a share of 20,000 variates.
        assert abs(found - expected) <= 5 * 0.5 / math.sqrt(len(variates))


def test_zero_variance_is_a_step_at_the_mean():
    assert gamma_cdf_by_moments(9.9, 10.0, 0.0) == 0.0
    assert gamma_cdf_by_moments(10.0, 10.0, 0.0) == 1.0
    assert gamma_cdf_by_moments(0.0, 10.0, 5.0) == 0.0
