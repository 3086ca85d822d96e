"""Measures on a host which objects its callers request."""

MAX_ENTRIES = 1_000  # bounds a report; further objects count in a later one


class DemandMeter:
    """Work that this host sent to servers since its last report, by object."""

    def __init__(self):
        self._work_ms: dict[str, dict[int, float]] = {}
        self._entries = 0

    def record(self, server_id: str, digest: int, work_ms: float) -> None:
        """Add a request for an object.

        Parameters
        ----------
        server_id : str
            Server that got the request.
        digest : int
            64-bit hash of the object's key.
        work_ms : float
            Expected time of the request on a slot of a server that has cached the
            object, in milliseconds.
        """
        objects = self._work_ms.get(server_id)
        if objects is None or digest not in objects:
            if self._entries >= MAX_ENTRIES:
                return
            self._entries += 1
            objects = self._work_ms.setdefault(server_id, {})
        objects[digest] = round(objects.get(digest, 0.0) + work_ms, 1)

    def pop(self) -> dict[str, dict[int, float]]:
        """Return and reset the work in milliseconds, by server and object digest."""
        work_ms, self._work_ms, self._entries = self._work_ms, {}, 0
        return work_ms
