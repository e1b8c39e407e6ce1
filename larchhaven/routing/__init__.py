"""The decisions of the balancer, pure: events and a time in, actions out.

From the top, where a module imports nothing from a layer above its own:

- ``balancer`` puts the parts together and dispatches events;
- ``attempts``, ``server_signals``, ``peer_gossip``, ``endpoint_list`` learn from events;
- ``placement`` finds a server for a request;
- ``admission``, ``health_checks``, ``migration``, ``affinity`` are what a placement needs;
- ``ranking`` orders the servers;
- ``load_estimate``, ``slow_start``, ``outlier_ejection``, ``circuit_breaker``, ``retries`` judge
  one server or request;
- ``request``, ``server``, ``connections``, ``arrival_statistics``, ``live_peers`` hold state;
- ``scheduler`` has the time, the actions and the timers of the batch in hand;
- ``hashing`` makes the short hashes that proxies exchange;
- ``settings_codec`` reads the settings under the names of the wire;
- ``events``, ``actions``, ``settings``, ``gossip_messages`` are the public types.
"""
