"""Who calls, and whether this host may rely on what it knows of keys."""

import hmac
import math

import attrs

from bulrushlead.clock import Clock
from bulrushlead.organisations._settings import OrganisationSettings
from bulrushlead.results import ResultCode
from bulrushlead.traffic import Organisation, TrafficPlan, key_digest

# A key that was added longer ago than this would be known here: it is more than two
# sync intervals. With older news, an unknown key may be a new one.
RECENT_MS = 1_200.0
LOG_DIGITS = 8  # enough to tell keys apart, too few to find one


@attrs.frozen
class Caller:
    """Who sent a request.

    Parameters
    ----------
    organisation : Organisation or None
        Organisation that holds the key; None if the request needs no key.
    digest : bytes
        Digest of the key.
    """

    organisation: Organisation | None = None
    digest: bytes = b""

    @property
    def name(self) -> str:
        """Name of the organisation; empty without one."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def key_label(self) -> str:
        """First digits of the key's digest, for logs."""
        return key_label(self.digest)


def key_label(digest: bytes) -> str:
    """Return the first digits of a key's digest, for logs."""
    return digest.hex()[:LOG_DIGITS]


ANYONE = Caller()


class Access:
    """Finds the organisation of each request, under a lease.

    A host that is cut off does not learn that a key was withdrawn. It therefore accepts
    keys only while a leader, which a majority confirmed, answered a question that is
    younger than ``key_lease_ms``. The age counts from before the question, on a clock
    that includes suspensions, so that any key withdrawn before is known here.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : OrganisationSettings
        Length of the lease.
    """

    def __init__(self, clock: Clock, settings: OrganisationSettings):
        self.clock = clock
        self.settings = settings
        self._holders: dict[bytes, Organisation] = {}
        self._has_organisations = False
        self._confirmed_ms = -math.inf

    @property
    def has_organisations(self) -> bool:
        """Whether requests carry keys at all."""
        return self._has_organisations

    def set_plan(self, plan: TrafficPlan) -> None:
        """Apply the organisations of a plan."""
        self._has_organisations = bool(plan.organisations)
        self._holders = {
            digest: organisation
            for organisation in plan.organisations
            for digest in organisation.key_digests
        }

    def confirm(self, asked_ms: float) -> None:
        """Renew the lease: the plan is the newest one as of ``asked_ms``."""
        self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    def age_ms(self) -> float:
        """Return the time since the plan was confirmed, in milliseconds."""
        return self.clock.now_ms() - self._confirmed_ms

    def is_confirmed(self) -> bool:
        """Return whether keys may be used now."""
        return self.age_ms() < self.settings.key_lease_ms

    def identify(self, keys: list[bytes], is_public: bool) -> Caller | ResultCode:
        """Return who sent a request.

        Parameters
        ----------
        keys : list of bytes
            Values of the key fields of the request.
        is_public : bool
            Whether its route needs no key.

        Returns
        -------
        Caller or ResultCode
            ``UNKNOWN_KEY`` without exactly one key that an organisation holds, or
            ``KEYS_UNCONFIRMED`` if such a key may be too new to be known here.
        """
        if not self._has_organisations or is_public:
            return ANYONE
        if len(keys) == 1:
            caller = self.find(key_digest(keys[0].strip()))
            if caller is not None:
                return caller
        if self.age_ms() > RECENT_MS:
            return ResultCode.KEYS_UNCONFIRMED
        return ResultCode.UNKNOWN_KEY

    def find(self, digest: bytes) -> Caller | None:
        """Return the caller that holds the key with a digest, or None."""
        organisation = self._holders.get(digest)
        if organisation is None or not any(
            hmac.compare_digest(digest, held) for held in organisation.key_digests
        ):
            return None
        return Caller(organisation, digest)

    def is_current(self, caller: Caller) -> bool:
        """Return whether a caller may still send, as of now."""
        if not caller.digest:
            return True  # another host has checked it, or it needs no key
        return self.is_confirmed() and self.find(caller.digest) is not None


def common_regions(
    route_regions: tuple[str, ...], caller: Caller
) -> tuple[str, ...] | None:
    """Return the regions that may run a request, or None if there is none.

    Parameters
    ----------
    route_regions : tuple of str
        Regions of the route; all if empty.
    caller : Caller
        Its organisation may have regions, too; then both bind.

    Returns
    -------
    tuple of str or None
        Regions; empty if all may.
    """
    own = () if caller.organisation is None else caller.organisation.allowed_regions
    if not route_regions or not own:
        return route_regions or own
    return tuple(region for region in route_regions if region in own) or None
