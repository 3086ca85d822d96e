"""Checks the version that an upgrade starts from."""

import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
SYSTEM = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def git(*arguments):
    return subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_the_version_in_production_is_an_earlier_commit():
    """Guards against an upgrade day that cannot begin."""
    if git("rev-parse", "--is-shallow-repository").stdout.strip() != "false":
        pytest.skip("the repository's history is not there")
    commit = SYSTEM["production"]
    assert len(commit) == 40
    assert git("merge-base", "--is-ancestor", commit, "HEAD").returncode == 0
