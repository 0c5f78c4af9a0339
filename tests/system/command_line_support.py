"""Runs command line calls in this process."""

from __future__ import annotations

import io
import shlex
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass

from nettledeal.programs.main import main


@dataclass
class Ended:
    """The result of a call."""

    returncode: int
    stdout: str
    stderr: str


def call(context, text: str) -> Ended:
    """Call the command line; upper-case words are replaced by the scenario's paths."""
    paths = getattr(context, "paths", {})
    arguments = [str(paths.get(word, word)) for word in shlex.split(text)]
    out, err = io.TextIOWrapper(io.BytesIO()), io.StringIO()
    status = None
    try:
        with redirect_stdout(out), redirect_stderr(err):
            main(arguments + getattr(context, "call_options", {}).get(arguments[0], []))
    except SystemExit as ended:
        status = ended.code
    out.flush()
    return Ended(status, out.buffer.getvalue().decode(), err.getvalue())
