"""Steps shared by all scenarios."""

import asyncio

import pytest
from pytest_bdd import given, parsers

from .world import World


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def run(runner):
    return runner.run


@given(parsers.parse('the "{name}" deployment runs'), target_fixture="world")
def _deployment(name, tmp_path, run, request):
    async def build():
        world = World(name, tmp_path)
        await world.start()
        return world

    world = run(build())
    request.addfinalizer(lambda: run(world.close()))
    return world
