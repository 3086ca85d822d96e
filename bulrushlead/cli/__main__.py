"""Entry point of ``python -m bulrushlead.cli``."""

from bulrushlead.cli import main

main()
