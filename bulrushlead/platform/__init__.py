"""Translates between the users' platform and the product; see docs/decisions."""
