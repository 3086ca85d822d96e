"""Starts the programs that the settings file lists for this host."""

import signal

# Before the other imports, which take most of the start: the signal ends a process that
# does not handle it, and the change that it announces is found without it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bulrushlead.platform._main import main  # noqa: E402

main()
