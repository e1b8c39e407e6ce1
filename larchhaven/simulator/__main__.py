"""Entry point of ``python -m larchhaven.simulator``, which serves the simulator on stdin/stdout."""

from __future__ import annotations

import gc
import sys

# Neither the imports nor the balancers create many reference cycles, so frequent collections would
# free almost nothing and would slow down the start most of all.
GC_THRESHOLDS = 100_000, 50, 50


def main() -> int:
    """Answer the simulator until its input ends.

    Returns:
        The exit code of the process.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    from larchhaven.simulator.host import SimulatorHost

    gc.freeze()  # objects that exist now live as long as the process
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return SimulatorHost(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
