"""Entry point: parses arguments, runs a command and maps errors to exit codes."""

import os
import sys
from collections.abc import Sequence

import defopt

from bulrushlead.cli import (
    _bench,
    _daemons,
    _explain,
    _operate,
    _organisations,
    _quarantine,
    _query,
)
from bulrushlead.results import CODES, BulrushleadError, ResultCode

COMMANDS = {
    "control": _daemons.control,
    "entry": _daemons.entry,
    "backend-sample": _daemons.backend_sample,
    "embedded": _daemons.embedded,
    "check": _daemons.check,
    "apply": _operate.apply,
    "diff": _operate.diff,
    "export": _operate.export,
    "status": _operate.status,
    "history": _operate.history,
    "watch": _operate.watch,
    "lookup": _query.lookup,
    "keys": _query.keys,
    "resolve-key": _query.resolve_key,
    "forget-keys": _query.forget_keys,
    "quarantine": _quarantine.quarantine,
    "release-request": _quarantine.release_request,
    "organisations": _organisations.organisations,
    "key-holder": _organisations.key_holder,
    "bench": _bench.bench,
    "explain": _explain.explain,
}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the exit code of the result.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line arguments without the program name; by default those of the
        process.
    """
    try:
        code = defopt.run(
            COMMANDS,
            argv=arguments,
            short={},
            no_negated_flags=True,
            argparse_kwargs={
                "prog": "bulrushlead",
                "description": "Global traffic steering.",
            },
        )
    except BulrushleadError as error:
        print(f"bulrushlead: {error}", file=sys.stderr)
        sys.exit(CODES[error.code].exit_code)
    except KeyboardInterrupt:
        sys.exit(CODES[ResultCode.INTERNAL].exit_code)
    except BrokenPipeError:
        # The reader closed the pipe. Redirect stdout, so that the flush at interpreter
        # exit does not fail on the same pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)
    sys.exit(code or 0)
