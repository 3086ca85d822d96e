"""Gamma distribution fitted by moments."""

import math

MAX_TERMS = 200
TOLERANCE = 1e-9
"""Relative change that ends an evaluation; a relative variance below it is 0."""

MIN_DENOMINATOR = 1e-300
"""Smallest denominator in the Lentz method, which must not divide by zero."""


def gamma_cdf_by_moments(x: float, mean: float, variance: float) -> float:
    """Return the probability that a gamma variate is at most ``x``.

    Parameters
    ----------
    x : float
        Cut-off, in the unit of the mean.
    mean : float
        Mean of the distribution, above 0.
    variance : float
        Variance; if it is near 0, the distribution is a step at the mean.

    Returns
    -------
    float
        Value of the cumulative distribution function, 0 to 1.
    """
    if x <= 0:
        return 0.0
    if variance <= TOLERANCE * mean * mean:
        return float(x >= mean)
    shape = mean * mean / variance
    return _regularised_lower_gamma(shape, x * mean / variance)


def _regularised_lower_gamma(shape: float, x: float) -> float:
    # The series converges fast below shape + 1, the continued fraction above.
    log_weight = shape * math.log(x) - x - math.lgamma(shape)
    if x < shape + 1.0:
        return min(1.0, math.exp(log_weight) * _power_series(shape, x))
    return max(0.0, 1.0 - math.exp(log_weight) * _continued_fraction(shape, x))


def _power_series(shape: float, x: float) -> float:
    term = total = 1.0 / shape
    for index in range(1, MAX_TERMS):
        term *= x / (shape + index)
        total += term
        if term < total * TOLERANCE:
            break
    return total


def _continued_fraction(shape: float, x: float) -> float:
    """Evaluate the continued fraction with the modified Lentz method."""
    b = x + 1.0 - shape
    c = 1.0 / MIN_DENOMINATOR
    d = 1.0 / b
    value = d
    for index in range(1, MAX_TERMS):
        a = -index * (index - shape)
        b += 2.0
        d = 1.0 / _away_from_zero(a * d + b)
        c = _away_from_zero(b + a / c)
        factor = c * d
        value *= factor
        if abs(factor - 1.0) < TOLERANCE:
            break
    return value


def _away_from_zero(value: float) -> float:
    return value if abs(value) > MIN_DENOMINATOR else MIN_DENOMINATOR
