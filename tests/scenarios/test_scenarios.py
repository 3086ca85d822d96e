"""Collects the scenarios in ``features`` as tests."""

from pytest_bdd import scenarios

scenarios("features")
