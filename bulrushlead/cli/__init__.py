"""Command line interface of ``bulrushlead``."""

from bulrushlead.cli._main import COMMANDS, main

__all__ = ["COMMANDS", "main"]
