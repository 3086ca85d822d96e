"""Starts the program that the settings file asks for."""

from bulrushlead.platform._main import main

main()
