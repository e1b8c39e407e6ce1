"""The entry point: without arguments it runs a proxy, otherwise the command line."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Sequence

EXIT_SERVED = 0
EXIT_UNUSABLE = 2
SERVE_ARGUMENTS: tuple[list[str], ...] = ([], ["run"], ["serve"])


def serve() -> int:
    """Run a proxy until SIGTERM, configured by $EDGE_CONFIG and, if set, $EDGE_OPERATOR.

    Returns:
        The exit code.
    """
    # The operators' file is read by a child process. The proxy is imported after the child has
    # ended, so that both are never in memory at the same time.
    reading = None
    operator_path = os.environ.get("EDGE_OPERATOR", "")
    if operator_path:
        from larchhaven.net.admin.operator_file import read_blocking

        reading = read_blocking(operator_path)
        if reading.complaints:
            for complaint in reading.complaints:
                print(complaint.format(operator_path), file=sys.stderr)
            return EXIT_UNUSABLE

    from larchhaven.net.configuration import ConfigurationError, load_configuration
    from larchhaven.net.core import log_setup
    from larchhaven.net.proxy import Proxy

    try:
        config = load_configuration(os.environ)
        log_setup.configure_logging(reading is not None and reading.settings.log_as_json)
        proxy = Proxy(config, operator_path, reading)
    except ConfigurationError as error:
        print(f"larchhaven: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as error:
        print(f"larchhaven: cannot listen: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    gc.freeze()  # objects loaded at start-up live until the end; exclude them from collections
    proxy.run()
    return EXIT_SERVED


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the proxy or a sub-command.

    Args:
        arguments: Command-line arguments without the program name; ``sys.argv`` if None.

    Returns:
        The exit code.
    """
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    if argument_list in SERVE_ARGUMENTS:
        return serve()  # without loading typer, which a proxy does not need

    from larchhaven.cli.app import main as run_command_line

    return run_command_line(argument_list)


if __name__ == "__main__":
    sys.exit(main())
