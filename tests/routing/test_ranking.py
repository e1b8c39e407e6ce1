"""Least ratio routing: choice of the server, near ties, and zones."""

from __future__ import annotations

from collections import Counter

from larchhaven.routing.events import AttemptResult, Endpoint, EndpointListKind, EndpointListUpdate
from larchhaven.routing.settings import OperationCosts
from tests.routing.builders import (
    START_US,
    attempt_ended,
    chosen_servers,
    load_report,
    make_balancer,
    request_arrived,
)


def test_server_with_the_lowest_reported_ratio_is_chosen() -> None:
    balancer = make_balancer(3)
    balancer.handle(START_US, [load_report(0, 0.5), load_report(1, 0.2), load_report(2, 0.7)])
    assert chosen_servers(balancer.handle(START_US + 1, [request_arrived(1)])) == ["s1"]


def test_exact_ties_are_broken_uniformly() -> None:
    counts: Counter[str] = Counter()
    for seed in range(600):
        balancer = make_balancer(4, seed=seed)
        balancer.handle(START_US, [load_report(i, 0.4) for i in range(4)])
        counts[chosen_servers(balancer.handle(START_US + 1, [request_arrived(1)]))[0]] += 1
    assert set(counts) == {"s0", "s1", "s2", "s3"}
    assert max(counts.values()) < 1.4 * min(counts.values())


def test_retry_after_a_full_server_goes_to_the_next_lowest() -> None:
    balancer = make_balancer(3)
    balancer.handle(START_US, [load_report(0, 0.5), load_report(1, 0.2), load_report(2, 0.7)])
    balancer.handle(START_US + 1, [request_arrived(1)])
    actions = balancer.handle(
        START_US + 2000, [attempt_ended(1, 0, "s1", AttemptResult.OVERLOADED)]
    )
    assert chosen_servers(actions) == ["s0"]


def test_many_proxies_do_not_herd_on_one_late_report() -> None:
    """Without a near-tie band, 50 proxies with the same report all choose the same server."""
    counts: Counter[str] = Counter()
    for seed in range(50):
        balancer = make_balancer(20, seed=seed, proxy_count=50)
        balancer.handle(START_US, [load_report(i, 0.30 + 0.01 * i) for i in range(20)])
        counts[chosen_servers(balancer.handle(START_US + 1, [request_arrived(1)]))[0]] += 1
    assert counts.most_common(1)[0][1] < 20
    assert counts["s19"] == 0


def test_heavy_connection_counts_its_own_load() -> None:
    """A heavy connection would fill a small server whose load ratio is only slightly lower."""
    balancer = make_balancer(0)
    small, large = Endpoint("s0", weight=1.0), Endpoint("s1", weight=4.0)
    balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 2, (small, large))])
    balancer.handle(START_US, [load_report(0, 0.3), load_report(1, 0.4)])
    assert chosen_servers(balancer.handle(START_US + 1, [request_arrived(1, load=0.6)]))[0] == "s1"
    assert chosen_servers(balancer.handle(START_US + 2, [request_arrived(2, load=0.01)]))[0] == "s0"


def test_near_tie_goes_to_the_own_zone_when_crossing_has_a_cost() -> None:
    balancer = make_balancer(0, zone_count=2, costs=OperationCosts(cross_zone=0.02))
    near, far = Endpoint("s0", zone=0), Endpoint("s1", zone=1)
    balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 2, (near, far))])
    balancer.handle(START_US, [load_report(0, 0.315), load_report(1, 0.30)])
    assert (
        chosen_servers(balancer.handle(START_US + 1, [request_arrived(1, load=0.001)]))[0] == "s0"
    )
    # No near tie: crossing saves more than it costs.
    balancer.handle(START_US + 2, [load_report(0, 0.35), load_report(1, 0.30)])
    assert (
        chosen_servers(balancer.handle(START_US + 3, [request_arrived(2, load=0.001)]))[0] == "s1"
    )
