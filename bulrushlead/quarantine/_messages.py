"""What hosts and the leader tell each other about requests that crash servers."""

import attrs

from bulrushlead.wire import message


@message("quarantine.crash")
class CrashNotice:
    """A backend server that ended while it had a request.

    Parameters
    ----------
    sent_age_ms, ended_age_ms : float
        Time since a host sent the request, and since it saw the server end, in
        milliseconds from when this was sent.
    version : str
        Software version of the server.
    """

    sent_age_ms: float
    ended_age_ms: float
    version: str = ""


@message("quarantine.suspect")
class SuspectNotice:
    """Evidence on one request.

    Parameters
    ----------
    service : str
        Service that handles it.
    crashes : dict of str to CrashNotice
        Servers that ended under it, by incarnation.
    completed_age_ms : float or None
        Time since its newest complete run, or since an operator released it, in
        milliseconds; None if neither is known.
    trial_ages_ms : dict of str to float
        Time since each kind of ``Trial`` that was granted, in milliseconds.
    """

    service: str
    crashes: dict[str, CrashNotice] = attrs.field(factory=dict)
    completed_age_ms: float | None = None
    trial_ages_ms: dict[str, float] = attrs.field(factory=dict)


@message("quarantine.report")
class SuspectReport:
    """Evidence that a host sends without waiting for its next sync request.

    Parameters
    ----------
    host_id : str
        Name of the host.
    suspects : dict of str to SuspectNotice
        Evidence by fingerprint of the request.
    """

    host_id: str
    suspects: dict[str, SuspectNotice]


@message("quarantine.trial_request")
class TrialRequest:
    """Asks the leader for leave to send a quarantined request once.

    Parameters
    ----------
    host_id : str
        Name of the host.
    fingerprint : str
        Fingerprint of the request.
    """

    host_id: str
    fingerprint: str


@message("quarantine.trial_reply")
class TrialReply:
    """Answer to a ``TrialRequest``.

    Parameters
    ----------
    trial : str
        Value of a ``Trial``; empty if the host may not send the request.
    """

    trial: str = ""


@message("quarantine.list")
class ListQuarantine:
    """An operator's call for the requests that are refused."""


@message("quarantine.list_reply")
class QuarantineReply:
    """Answer to a ``ListQuarantine``.

    Parameters
    ----------
    requests : dict of str to SuspectNotice
        Evidence on each refused request, by fingerprint.
    """

    requests: dict[str, SuspectNotice]


@message("quarantine.release")
class ReleaseRequest:
    """An operator's call to send a request again.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    """

    fingerprint: str
