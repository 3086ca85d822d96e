"""Settings of the admission queue."""

import attrs


@attrs.frozen
class AdmissionSettings:
    """Settings of an admission queue.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests of one class.
    interactive_per_bulk : int
        Interactive requests that start for each bulk request while both wait.
    initial_service_ms : float
        Service time assumed before the first observation.
    deviations : float
        Number of mean deviations added to the mean service time when it is
        compared with a deadline.
    arrival_slack : float
        Fraction of the expected wait that is added to it on arrival, so that few
        requests are refused after they have waited.
    sweep_interval_ms : float
        Minimum time between two checks of the deadlines of all waiting requests.
    max_retry_after_ms : float
        Longest retry delay sent to a refused caller.
    """

    max_waiting: int = 256
    interactive_per_bulk: int = 7
    initial_service_ms: float = 50.0
    deviations: float = 1.0
    arrival_slack: float = 0.5
    sweep_interval_ms: float = 10.0
    max_retry_after_ms: float = 5_000.0
