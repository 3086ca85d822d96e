"""Splits the requests of a route among its services by weight."""

from bulrushlead.traffic._plan import ServiceShare


class WeightedSplit:
    """Smooth weighted round robin over the services of a route.

    Parameters
    ----------
    shares : sequence of ServiceShare
        Services and their weights.

    Notes
    -----
    Over a full cycle of the weights, each service gets its exact share. A request stays
    with its service even if that service is full: moving it to another one would
    change the shares.
    """

    def __init__(self, shares: tuple[ServiceShare, ...]):
        self._shares = [share for share in shares if share.weight > 0]
        self._current_weights = [0.0] * len(self._shares)
        self._total_weight = sum(share.weight for share in self._shares)

    def next_service(self) -> str:
        """Return the service of the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        best = 0
        for position, share in enumerate(self._shares):
            self._current_weights[position] += share.weight
            if self._current_weights[position] > self._current_weights[best]:
                best = position
        self._current_weights[best] -= self._total_weight
        return self._shares[best].service
