"""Run one proxy: ``python -m larchhaven``, configured by the file that ``EDGE_CONFIG`` names."""

from __future__ import annotations

import gc
import logging
import os
import sys

from larchhaven.net.config import ConfigError, load
from larchhaven.net.node import Node

BAD_CONFIGURATION = 2


def main() -> int:
    """Serve until told to stop; return the exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(message)s", stream=sys.stderr)
    try:
        config = load(os.environ)
        node = Node(config)
    except ConfigError as error:
        print(f"larchhaven: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"larchhaven: cannot listen: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    gc.freeze()  # what was loaded at the start stays to the end
    node.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
