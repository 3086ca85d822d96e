"""Running estimate of a quantity that varies."""


class MovingEstimate:
    """Exponentially weighted mean and mean deviation.

    Parameters
    ----------
    initial : float
        Estimate before the first observation.
    weight : float, default=0.1
        Weight of a new observation, 0 to 1; the first observations have equal
        weights instead, and ``initial`` has none.
    deviations : float, default=1.0
        Number of mean deviations that ``upper`` adds to the mean.
    """

    def __init__(self, initial: float, weight: float = 0.1, deviations: float = 1.0):
        self.initial = initial
        self.weight = weight
        self.deviations = deviations
        self._mean = initial
        self._deviation = 0.0
        self._count = 0

    def observe(self, value: float) -> None:
        """Update the mean and the mean deviation with one observation."""
        self._count += 1
        weight = max(self.weight, 1.0 / self._count)
        error = value - self._mean
        self._mean += weight * error
        if self._count > 1:
            self._deviation += weight * (abs(error) - self._deviation)

    def mean(self) -> float:
        """Return the estimated mean."""
        return self._mean

    def upper(self) -> float:
        """Return the mean plus ``deviations`` mean deviations."""
        return self._mean + self.deviations * self._deviation

    def count(self) -> int:
        """Return the number of observations."""
        return self._count
