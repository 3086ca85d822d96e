"""Settings of the admission queue."""

import attrs


@attrs.frozen
class AdmissionSettings:
    """Settings of an admission queue.

    Parameters
    ----------
    max_waiting : int
        Most requests of one class that wait.
    interactive_turns : int
        Interactive requests that start for each bulk request while both wait.
    initial_service_ms : float
        Service time assumed before the first observation.
    deviations : float
        Mean deviations of the service time that must still fit before the
        deadline.
    arrival_slack : float
        Part by which the expected wait is lengthened on arrival, so that few
        requests are refused after they have waited.
    sweep_interval_ms : float
        Least time between two checks of all waiting requests.
    max_retry_after_ms : float
        Longest time that a refused caller is told to stay away.
    """

    max_waiting: int = 256
    interactive_turns: int = 7
    initial_service_ms: float = 50.0
    deviations: float = 1.0
    arrival_slack: float = 0.5
    sweep_interval_ms: float = 10.0
    max_retry_after_ms: float = 5_000.0
