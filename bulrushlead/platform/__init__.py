"""Adapter for the users' platform: settings, calls and headers; see docs/decisions."""
