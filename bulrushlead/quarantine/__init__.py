"""Requests that crash backend servers, and who may still send them."""

from bulrushlead.quarantine._fingerprint import request_fingerprint

__all__ = ["request_fingerprint"]
