"""Adapts the platform's settings, calls and header names; see docs/decisions."""
