"""Starts the programs that the settings file lists for this host."""

from bulrushlead.platform._main import main

main()
