"""Lets ``python -m bulrushlead.cli`` run the command line."""

from bulrushlead.cli import main

main()
