"""``python -m larchhaven.simulator``: serves the simulator on standard input and output."""

from __future__ import annotations

import gc
import sys

# Neither the modules nor the balancers make many reference cycles: frequent collections, above all
# while the modules are loaded, would find next to nothing.
GC_THRESHOLDS = 100_000, 50, 50


def main() -> int:
    """Answer the simulator until its input ends; return the exit code."""
    gc.set_threshold(*GC_THRESHOLDS)
    from larchhaven.simulator.host import SimulatorHost

    gc.freeze()  # what was loaded at the start stays to the end
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return SimulatorHost(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
