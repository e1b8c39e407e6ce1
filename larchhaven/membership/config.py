"""Intervals, timeouts and limits of the protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """Intervals, timeouts and limits; ``docs/design/membership.md`` gives the reasons.

    Attributes:
        probe_interval_us: Time between two probes at a local health score of 0.
        probe_timeout_us: Time to wait for a direct ack before requesting indirect probes.
        indirect_probes: Number of members that are asked for an indirect probe.
        gossip_interval_us: Time between two gossip rounds.
        gossip_fanout: Number of receivers of a gossip round.
        retransmit_multiplier: Number of times that each state update is sent, as a multiple of the
            bit length of the table size.
        min_suspicion_us: Suspicion timeout with all confirmations. Together with the probe interval
            before it, it is long enough that a pause of two seconds is not taken for a death.
        suspicion_max_multiplier: Suspicion timeout with a single suspector, as a multiple of
            ``min_suspicion_us``.
        suspicion_confirmations: Number of further suspectors that shorten the timeout to the
            minimum.
        join_timeout_us: Maximum time that a new member waits for updates about itself.
        join_retry_interval_us: Time between two rounds of push-pull requests until one is answered.
        join_fanout: Number of receivers of a round of push-pull requests.
        push_pull_interval_us: Time between two push-pull exchanges with a present member.
        reconnect_interval_us: Time between two push-pull requests to an absent member.
        pause_threshold_us: A timer that runs this late means that the process was paused.
        late_timer_threshold_us: A timer that runs this late invalidates the probe under way.
        isolation_timeout_us: After this time without any answer, the local member trusts its own
            observations again.
        messages_per_second: Maximum rate of messages that are not replies, for any table size.
        message_burst: Maximum number of messages that are sent at once, replies excluded.
    """

    probe_interval_us: int = 500_000
    probe_timeout_us: int = 200_000
    indirect_probes: int = 3
    gossip_interval_us: int = 200_000
    gossip_fanout: int = 2
    retransmit_multiplier: int = 3
    min_suspicion_us: int = 2_300_000
    suspicion_max_multiplier: float = 3.0
    suspicion_confirmations: int = 3
    join_timeout_us: int = 1_000_000
    join_retry_interval_us: int = 250_000
    join_fanout: int = 3
    push_pull_interval_us: int = 5_000_000
    reconnect_interval_us: int = 2_000_000
    pause_threshold_us: int = 1_000_000
    late_timer_threshold_us: int = 100_000
    isolation_timeout_us: int = 3_000_000
    messages_per_second: float = 25.0
    message_burst: int = 50
