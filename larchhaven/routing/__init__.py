"""Routing decisions of a proxy, free of I/O: events and a time in, actions out.

The layers from the top down; a module imports nothing from a layer above its own:

- ``balancer`` wires the components together and dispatches events;
- ``attempts``, ``server_signals``, ``peer_gossip``, ``endpoint_list`` handle events;
- ``placement`` chooses a server for each request;
- ``admission``, ``health_checks``, ``migration``, ``affinity`` support placement;
- ``ranking`` orders the servers by load;
- ``load_estimate``, ``slow_start``, ``outlier_ejection``, ``circuit_breaker``, ``retries`` evaluate
  a single server or request;
- ``request``, ``server``, ``connections``, ``arrival_statistics``, ``live_peers`` hold state;
- ``scheduler`` holds the time, the actions and the timers of the current batch;
- ``hashing`` computes the short hashes that proxies exchange;
- ``settings_codec`` decodes the settings from their external names;
- ``events``, ``actions``, ``settings``, ``gossip_messages`` define the public types.
"""
