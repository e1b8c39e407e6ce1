"""Which messages of other proxies have a form that one of us would send; the rest is dropped and counted."""

from __future__ import annotations

from larchhaven.gossip.shared_health_checks import REPORTS
from larchhaven.routing.balancer import ASKED, HELD, MARK, STARTED, TAG


def is_readable(data: bytes) -> bool:
    """Tell whether another proxy may have said this; entries of reports are the lookout's to judge.

    What only the other process of an upgrade tells is no message of another proxy.
    """
    kind, size = data[:1], len(data) - 1
    if kind == HELD:
        return size > 0 and size % (TAG + MARK) == 0
    return kind == REPORTS or (kind, size) in ((ASKED, TAG), (STARTED, 0))
