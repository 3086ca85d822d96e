"""Fixtures and the step that starts a deployment, shared by all scenarios."""

import asyncio

import pytest
from pytest_bdd import given, parsers

from .harness import Harness


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def run(runner):
    return runner.run


@given(parsers.parse('the "{name}" deployment runs'), target_fixture="harness")
def _deployment(name, tmp_path, run, request):
    async def build():
        harness = Harness(name, tmp_path)
        await harness.start()
        return harness

    harness = run(build())
    request.addfinalizer(lambda: run(harness.close()))
    return harness
