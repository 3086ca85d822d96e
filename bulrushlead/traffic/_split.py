"""Splits the requests of a route over its services by weight."""

from bulrushlead.traffic._plan import ServiceShare


class WeightedSplit:
    """Smooth weighted round robin: every run of requests has the exact shares.

    Parameters
    ----------
    shares : sequence of ServiceShare
        Services and their weights.

    Notes
    -----
    A request keeps its service when that service has no room: moving it to
    another one would change the shares.
    """

    def __init__(self, shares: tuple[ServiceShare, ...]):
        self._shares = [share for share in shares if share.weight > 0]
        self._credits = [0.0] * len(self._shares)
        self._total = sum(share.weight for share in self._shares)

    def next_service(self) -> str:
        """Return the service of the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        best = 0
        for position, share in enumerate(self._shares):
            self._credits[position] += share.weight
            if self._credits[position] > self._credits[best]:
                best = position
        self._credits[best] -= self._total
        return self._shares[best].service
