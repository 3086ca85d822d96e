"""Hypothesis profiles and pytest plugins that all tests share."""

from hypothesis import settings

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=100
)
settings.register_profile("long", deadline=None, database=None, max_examples=20_000)
settings.load_profile("ci")

pytest_plugins = (
    "tests.scenarios.steps_servers",
    "tests.scenarios.steps_hosts",
    "tests.scenarios.steps_callers",
    "tests.scenarios.steps_operators",
)
