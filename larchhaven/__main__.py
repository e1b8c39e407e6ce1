"""The program: ``python -m larchhaven`` serves; with arguments it is the command line ``larchhaven``."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Sequence

UNUSABLE = 2


def serve() -> int:
    """Serve until told to stop, configured by $EDGE_CONFIG and, if it is set, $EDGE_OPERATOR."""
    # In this order: the process that reads the operators' file is over before the proxy takes its memory.
    reading = None
    path = os.environ.get("EDGE_OPERATOR", "")
    if path:
        from larchhaven.net.admin.operator_file import read_blocking

        reading = read_blocking(path)
        if reading.complaints:
            for complaint in reading.complaints:
                print(complaint.at(path), file=sys.stderr)
            return UNUSABLE

    from larchhaven.net.configuration import ConfigurationError, load_configuration
    from larchhaven.net.core import log_setup as logs
    from larchhaven.net.proxy import Node

    try:
        config = load_configuration(os.environ)
        logs.configure_logging(reading is not None and reading.settings.log_json)
        node = Node(config, path, reading)
    except ConfigurationError as error:
        print(f"larchhaven: {error}", file=sys.stderr)
        return UNUSABLE
    except OSError as error:
        print(f"larchhaven: cannot listen: {error}", file=sys.stderr)
        return UNUSABLE
    gc.freeze()  # what was loaded at the start stays to the end
    node.run()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve if there are no arguments, else run the sub-command; return the exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given in ([], ["run"], ["serve"]):
        return serve()  # without the command line's library, which a proxy has no use for

    from larchhaven.cli.app import main as command_line

    return command_line(given)


if __name__ == "__main__":
    sys.exit(main())
