"""Policies that choose one of the allowed backend servers for a request."""

import math
import random
from collections.abc import Sequence
from functools import singledispatch

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.routing._gamma import gamma_cdf_by_moments
from bulrushlead.routing._signals import ServerSignals

MIN_SUCCESS_RATE = 0.05
"""Lower bound of the success rate by which a score is divided."""


@attrs.define(eq=False)
class Option:
    """A candidate with its signals.

    Parameters
    ----------
    server : BackendServer
        The server.
    free_slots : int
        Leased slots of the server that are not in use.
    signals : ServerSignals
        Observations and reports of the server.
    baseline_ms : float
        Median latency of the service's servers in its region.
    extra_latency_ms : float
        Round-trip time to its zone minus that within the own zone.
    """

    server: BackendServer
    free_slots: int
    signals: ServerSignals
    baseline_ms: float
    extra_latency_ms: float


@attrs.frozen(eq=False)
class Choice:
    """Option that a policy chose, with its score.

    Parameters
    ----------
    option : Option
        The chosen option.
    score : float
        Score that the policy compared; lower is better.
    """

    option: Option
    score: float


@attrs.frozen
class Policy:
    """Base class of the policies."""


@attrs.frozen
class RoundRobin(Policy):
    """Chooses the server whose last decision is the oldest."""


@attrs.frozen
class RandomChoice(Policy):
    """Chooses a server at random, all with the same probability."""


@attrs.frozen
class LeastReportedLoad(Policy):
    """Chooses the server with the lowest reported load."""


@attrs.frozen
class PowerOfTwoChoices(Policy):
    """Chooses, of two random servers, the one with fewer requests in flight.

    Only the requests of this entry host count.
    """


@attrs.frozen
class LatencyAware(Policy):
    """Chooses, of a few random servers, the one with the lowest latency times load.

    The product is divided by the success rate before the comparison.

    Parameters
    ----------
    n_choices : int
        Number of random servers that are compared.
    """

    n_choices: int = 2


@attrs.frozen
class DeadlineProbability(Policy):
    """Chooses, of a few random servers, the one most likely to answer in time.

    The latency is modelled as gamma distributed with the observed moments.

    Parameters
    ----------
    n_choices : int
        Number of random servers that are compared.
    target_factor : float
        Cut-off as a multiple of the median latency of the region; the deadline
        applies if it is earlier. 0 means the deadline alone.
    """

    n_choices: int = 2
    target_factor: float = 0.0


@attrs.define(eq=False)
class PickContext:
    """Inputs of a choice besides the options.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    now_ms : float
        The current time.
    remaining_ms : float
        Time left until the request's deadline.
    """

    rng: random.Random
    now_ms: float
    remaining_ms: float = math.inf


@singledispatch
def pick(policy: Policy, options: Sequence[Option], context: PickContext) -> Choice:
    """Choose one of the options.

    Parameters
    ----------
    policy : Policy
        Policy to apply.
    options : sequence of Option
        Allowed options, at least one.
    context : PickContext
        Random numbers, time and deadline.

    Returns
    -------
    Choice
        The choice and its score.
    """
    raise NotImplementedError(f"policy {policy!r} has no rule to pick a server")


@pick.register
def _(policy: RoundRobin, options, context):
    option = min(options, key=lambda option: option.signals.last_decision)
    return Choice(option, float(option.signals.last_decision))


@pick.register
def _(policy: RandomChoice, options, context):
    return Choice(context.rng.choice(options), 0.0)


@pick.register
def _(policy: LeastReportedLoad, options, context):
    def load(option: Option) -> float:
        return option.signals.reported_load or 0.0

    lowest = min(load(option) for option in options)
    equal = [option for option in options if load(option) == lowest]
    return Choice(context.rng.choice(equal), lowest)


@pick.register
def _(policy: PowerOfTwoChoices, options, context):
    sampled = _sample(options, 2, context.rng)
    option = min(sampled, key=lambda option: option.signals.in_flight)
    return Choice(option, float(option.signals.in_flight))


@pick.register
def _(policy: LatencyAware, options, context):
    sampled = _sample(options, policy.n_choices, context.rng)
    scores = [latency_score(option, context.now_ms) for option in sampled]
    best = min(range(len(sampled)), key=scores.__getitem__)
    return Choice(sampled[best], scores[best])


@pick.register
def _(policy: DeadlineProbability, options, context):
    sampled = _sample(options, policy.n_choices, context.rng)
    scores = [1.0 - _success_probability(policy, option, context) for option in sampled]
    best = min(
        range(len(sampled)),
        key=lambda index: (scores[index], sampled[index].signals.in_flight),
    )
    return Choice(sampled[best], scores[best])


def _success_probability(
    policy: DeadlineProbability, option: Option, context: PickContext
) -> float:
    signals = option.signals
    cutoff_ms = context.remaining_ms
    if policy.target_factor > 0:
        cutoff_ms = min(cutoff_ms, policy.target_factor * option.baseline_ms)
    mean_ms = signals.latency_ms(context.now_ms, option.baseline_ms)
    if mean_ms <= 0 or math.isinf(cutoff_ms):
        return 1.0 - signals.error_rate
    in_time_probability = gamma_cdf_by_moments(
        cutoff_ms - option.extra_latency_ms, mean_ms, signals.latency.variance_ms2
    )
    return in_time_probability * (1.0 - signals.error_rate)


def latency_score(option: Option, now_ms: float) -> float:
    """Return latency times load, divided by the success rate, in milliseconds."""
    signals = option.signals
    latency_ms = signals.latency_ms(now_ms, option.baseline_ms)
    latency_ms += option.extra_latency_ms
    success_rate = max(MIN_SUCCESS_RATE, 1.0 - signals.error_rate)
    return latency_ms * (signals.load(now_ms) + 1.0) / success_rate


def _sample(
    options: Sequence[Option], count: int, rng: random.Random
) -> Sequence[Option]:
    if len(options) <= count:
        return options
    return rng.sample(options, count)
